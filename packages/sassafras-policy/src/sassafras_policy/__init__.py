"""Decisions of the control layer, on data classes; no message encoding."""
