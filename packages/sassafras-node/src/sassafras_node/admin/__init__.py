"""The administration API, which every node offers to operators."""
