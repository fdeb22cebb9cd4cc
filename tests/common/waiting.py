"""Waiting for a condition in tests that start processes."""

import trio

POLL_S = 0.02
GIVE_UP_S = 30.0


async def until(condition, what):
    """Waits until an async condition returns a true value; returns it."""
    with trio.move_on_after(GIVE_UP_S):
        while True:
            value = await condition()
            if value:
                return value
            await trio.sleep(POLL_S)
    raise AssertionError(f"never happened: {what}")
