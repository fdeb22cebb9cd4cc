"""Counts function calls, system calls and task steps of marked tasks.

The interpreter reports each call to the profile function of the thread. System
calls are counted where a C function that makes one is called, so the count does
not contain those that the C library makes by itself.
"""

from collections.abc import Callable
import contextvars
import dataclasses
import pathlib
import sys
import time
import types

import trio

# Name of the node whose task runs; inherited by the tasks that it starts.
owner: contextvars.ContextVar[str] = contextvars.ContextVar("owner", default="")

_SITE_PACKAGES = "site-packages"
_OWN_PREFIX = "sassafras_"
_PACKAGES = ("h11", "trio", "own")
_OTHERS = "others"
# Calls that the counter itself causes are no cost of a node.
_IGNORED_FILES = frozenset(["_instrumentation.py", "counting.py"])
# Methods of C types that make one system call each.
_SYSTEM_CALLS = {
    "socket": frozenset(
        [
            "_accept",
            "bind",
            "close",
            "connect",
            "connect_ex",
            "getpeername",
            "getsockname",
            "getsockopt",
            "listen",
            "recv",
            "recv_into",
            "send",
            "sendmsg",
            "setblocking",
            "setsockopt",
            "shutdown",
        ]
    ),
    "epoll": frozenset(["modify", "poll", "register", "unregister"]),
    "poll": frozenset(["poll"]),
}


@dataclasses.dataclass(slots=True)
class Counts:
    """What the tasks of one node did.

    Attributes:
      calls: Calls of Python functions by package: `h11`, `trio`, `own` and
        `others`. The resumption of a coroutine counts as a call, as it costs
        as much.
      system_calls: System calls by name.
      steps: Steps of tasks, each of which ends with a switch to another.
    """

    calls: dict[str, float] = dataclasses.field(
        default_factory=lambda: dict.fromkeys((*_PACKAGES, _OTHERS), 0.0)
    )
    system_calls: dict[str, float] = dataclasses.field(default_factory=dict)
    steps: float = 0.0

    def add_share(self, loop: "Counts", share: float) -> None:
        """Adds a share of what the event loop did for all tasks."""
        for package, count in loop.calls.items():
            self.calls[package] += count * share
        for name, count in loop.system_calls.items():
            self.system_calls[name] = (
                self.system_calls.get(name, 0.0) + count * share
            )

    def divided_by(self, number: int) -> "Counts":
        """Returns the counts of one of several equal visits."""
        return Counts(
            {name: count / number for name, count in self.calls.items()},
            {name: count / number for name, count in self.system_calls.items()},
            self.steps / number,
        )


class PausableClock(trio.abc.Clock):
    """Runs until it is paused, so that no timer disturbs a count."""

    def __init__(self) -> None:
        self._paused_at: float | None = None

    def pause(self) -> None:
        """Stops the time; timers fire no more."""
        self._paused_at = self.current_time()

    def start_clock(self) -> None:
        """See trio.abc.Clock."""

    def current_time(self) -> float:
        """See trio.abc.Clock."""
        if self._paused_at is not None:
            return self._paused_at
        return time.perf_counter()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """See trio.abc.Clock."""
        if self._paused_at is not None and deadline > self._paused_at:
            return float("inf")
        return deadline - self.current_time()


class Counter(trio.abc.Instrument):
    """Counts by node, from `start` to `stop`.

    What the event loop does between steps is divided by the number of steps:
    it runs one iteration for each where calls follow one another.
    """

    def __init__(self) -> None:
        self._by_owner: dict[str, Counts] = {}
        self._loop = Counts()
        self._current = self._loop
        self._is_counting = False
        self._package_of: dict[types.CodeType, str | None] = {}

    def start(self) -> None:
        """Begins to count."""
        self._is_counting = True
        sys.setprofile(self._record)

    def stop(self) -> dict[str, Counts]:
        """Ends the count and returns the counts by node."""
        sys.setprofile(None)
        self._is_counting = False
        steps = sum(counts.steps for counts in self._by_owner.values())
        for counts in self._by_owner.values():
            counts.add_share(self._loop, counts.steps / steps)
        return self._by_owner

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """See trio.abc.Instrument."""
        if not self._is_counting:
            return
        name = task.context.get(owner, "")
        counts = self._by_owner.get(name)
        if counts is None:
            counts = self._by_owner[name] = Counts()
        counts.steps += 1
        self._current = counts

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """See trio.abc.Instrument."""
        del task
        self._current = self._loop

    def _record(
        self, frame: types.FrameType, event: str, arg: Callable[..., object]
    ) -> None:
        if event == "call":
            code = frame.f_code
            if code not in self._package_of:
                self._package_of[code] = _package(code.co_filename)
            package = self._package_of[code]
            if package is not None:
                self._current.calls[package] += 1
        elif event == "c_call":
            kind = type(getattr(arg, "__self__", None)).__name__
            name = arg.__name__
            if name in _SYSTEM_CALLS.get(kind, ()):
                calls = self._current.system_calls
                key = f"{kind}.{name}"
                calls[key] = calls.get(key, 0.0) + 1


def _package(file_name: str) -> str | None:
    """Returns the package of a source file; None if it is not counted."""
    path = pathlib.PurePath(file_name)
    if path.name in _IGNORED_FILES:
        return None
    if any(part.startswith(_OWN_PREFIX) for part in path.parts):
        return "own"
    if _SITE_PACKAGES in path.parts:
        package = path.parts[path.parts.index(_SITE_PACKAGES) + 1]
        if package in _PACKAGES:
            return package
    return _OTHERS
