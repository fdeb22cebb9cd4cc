"""Admission control: which calls a target executes, queues or refuses."""
