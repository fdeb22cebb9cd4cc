"""Sources of time. Durations are in seconds unless a name has another unit."""

import time
from typing import Protocol

import trio


class Clock(Protocol):
    """A source of time that tests can replace."""

    def now(self) -> float:
        """Returns monotonic seconds, without time spent suspended."""
        ...

    def now_with_suspend(self) -> float:
        """Returns monotonic seconds, with time spent suspended."""
        ...

    def wall(self) -> float:
        """Returns seconds since the Unix epoch, for people and records."""
        ...


class SystemClock:
    """The host's clocks; usable only inside one `trio.run`."""

    def now(self) -> float:
        """Returns trio's time, which a mock clock controls in tests."""
        # Read some twenty times for each call, so later calls go to trio's
        # clock directly.
        self.now = trio.lowlevel.current_clock().current_time  # type: ignore[method-assign]
        return self.now()

    def now_with_suspend(self) -> float:
        """Returns CLOCK_BOOTTIME, so that a suspend cannot extend a lease."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns the wall clock."""
        return time.time()


class TrioClock:
    """Takes every time from trio, for tests that run on its mock clock."""

    def now(self) -> float:
        """Returns trio's time."""
        return trio.current_time()

    def now_with_suspend(self) -> float:
        """Returns trio's time."""
        return trio.current_time()

    def wall(self) -> float:
        """Returns trio's time."""
        return trio.current_time()
