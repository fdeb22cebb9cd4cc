"""The commands, registered by decorators."""
