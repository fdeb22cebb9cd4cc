"""An emulator of the users' platform: machines, endpoints and its store."""
