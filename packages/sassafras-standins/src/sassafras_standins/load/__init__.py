"""Load generators, and the evaluation of their results."""
