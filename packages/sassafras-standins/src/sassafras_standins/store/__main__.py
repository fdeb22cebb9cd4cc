"""Runs the store stand-in as a process."""

import sys

import trio

from sassafras_standins.store import server

if __name__ == "__main__":
    trio.run(server.StoreServer().listen, sys.argv[1])
