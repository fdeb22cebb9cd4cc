"""Decisions of the control layer, over data classes and free of any codec."""
