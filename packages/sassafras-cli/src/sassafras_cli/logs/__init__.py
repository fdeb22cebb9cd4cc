"""Reads log lines of nodes and explains how a request ended."""
