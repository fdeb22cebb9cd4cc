"""Models, codecs and connections for all input and output of a process."""
