"""Samples how long the tasks of each supervised child run.

The event loop runs one task at a time, so the time between the begin and the
end of a step is processor time of that task, unless another process had the
core meanwhile. `time.process_time` is not used, as it runs like the steady
clock on the users' platform.
"""

import collections
import contextvars
import time

import trio

# Path of the child in the supervisor tree that a task belongs to. Tasks that
# are started by a task inherit it.
current_path: contextvars.ContextVar[str] = contextvars.ContextVar(
    "current_path", default=""
)

_OTHER = "other"
EVENT_LOOP = "event-loop"


class TaskTimes(trio.abc.Instrument):
    """Adds up the time that tasks run, by child, while it is installed.

    An instrument takes some microseconds for each step of a task, so it is
    installed for a small part of the time only.
    """

    def __init__(self) -> None:
        self._run_s: dict[str, float] = collections.defaultdict(float)
        self._waited_s = 0.0
        self._started = 0.0
        self._wait_started = 0.0

    def before_io_wait(self, timeout: float) -> None:
        """Notes when the loop begins to wait; see trio.abc.Instrument."""
        del timeout
        self._wait_started = time.perf_counter()

    def after_io_wait(self, timeout: float) -> None:
        """Adds the time of a wait; see trio.abc.Instrument."""
        del timeout
        self._waited_s += time.perf_counter() - self._wait_started

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Notes when a step begins; see trio.abc.Instrument."""
        del task
        self._started = time.perf_counter()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Adds the time of a step; see trio.abc.Instrument."""
        path = task.context.get(current_path, _OTHER)
        self._run_s[path] += time.perf_counter() - self._started

    async def sample(self, span_s: float) -> dict[str, float]:
        """Returns the seconds that each child runs during a span.

        Args:
          span_s: Length of the span in seconds.

        Returns:
          Seconds by path; children of one kind, such as `link:NODE`, are added
          up. `EVENT_LOOP` has the time between the steps, without the waits.
        """
        self._run_s.clear()
        self._waited_s = 0.0
        # The step that installs the instrument ends under it, without a begin.
        begun_at = self._started = time.perf_counter()
        trio.lowlevel.add_instrument(self)
        try:
            await trio.sleep(span_s)
        finally:
            trio.lowlevel.remove_instrument(self)
        busy_s = time.perf_counter() - begun_at - self._waited_s
        by_kind: dict[str, float] = collections.defaultdict(float)
        for path, run_s in self._run_s.items():
            by_kind[path.partition(":")[0]] += run_s
        by_kind[EVENT_LOOP] = max(0.0, busy_s - sum(self._run_s.values()))
        return dict(by_kind)
