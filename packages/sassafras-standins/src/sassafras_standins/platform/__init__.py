"""An emulator of the users' platform: store, endpoints, clients, machines."""
