"""The routes of the administration API, registered by decorators."""
