"""Polls for a condition."""

import trio

POLL_S = 0.02
TIMEOUT_S = 30.0


async def until(condition, description):
    """Awaits the condition until it returns a true value, and returns that."""
    with trio.move_on_after(TIMEOUT_S):
        while True:
            value = await condition()
            if value:
                return value
            await trio.sleep(POLL_S)
    raise AssertionError(f"condition not met in time: {description}")
