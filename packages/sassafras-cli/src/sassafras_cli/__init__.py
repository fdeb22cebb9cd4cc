"""The command line of sassafrasmount for operators."""
