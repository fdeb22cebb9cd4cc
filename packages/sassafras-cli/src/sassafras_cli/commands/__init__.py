"""The commands; decorators register them."""
