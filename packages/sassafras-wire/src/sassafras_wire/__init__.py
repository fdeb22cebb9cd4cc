"""Models and codecs at the border of the system's processes."""
