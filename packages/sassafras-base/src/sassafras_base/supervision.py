"""Supervisors that restart failed children and give up after repeated failure.

A supervisor runs each child in its own task. A child that raises is restarted
after a back-off, and its siblings keep running. When a child fails more often
than the restart policy allows, the supervisor raises to its parent.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_base import task_times

ChildFunction = Callable[[], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class RestartPolicy:
    """How long to wait before a restart, and when to give up."""

    initial_backoff_s: float = 0.1
    max_backoff_s: float = 5.0
    max_failures: int = 10
    window_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Child:
    """A child of a supervisor.

    Attributes:
      name: Unique among the children of one supervisor.
      run: Function that runs until it is done or cancelled.
      permanent: A permanent child that returns is restarted like one that
        fails; any other child may return and is then done.
    """

    name: str
    run: ChildFunction
    permanent: bool = True


@events.declare(1, "WARNING")
def child_failed(path: str, error: str, retry_in_s: float) -> str:
    """A task of the node failed and is restarted after a back-off.

    Other tasks are not affected. The error names the failed step and the peer.
    """
    return f"{path} failed: {error}; restart in {retry_in_s:.1f} s"


@events.declare(2, "ERROR")
def supervisor_gave_up(path: str, error: str) -> str:
    """A task failed too often; its supervisor raises the error to its parent.

    When the root supervisor gives up, the node exits and the host's process
    manager should start it again.
    """
    return f"{path} failed too often and is not restarted: {error}"


class GaveUpError(errors.SassafrasError):
    """A child failed more often than its restart policy allows."""


def describe(error: BaseException) -> str:
    """Returns the text of an error; groups are flattened."""
    if isinstance(error, BaseExceptionGroup):
        return "; ".join(describe(inner) for inner in error.exceptions)
    if isinstance(error, errors.SassafrasError):
        return str(error)
    return repr(error)


class Supervisor:
    """Runs and restarts children.

    Attributes:
      path: Path in the supervisor tree, such as `node/peers`.
    """

    def __init__(self, path: str, policy: RestartPolicy | None = None) -> None:
        self.path = path
        self._policy = policy or RestartPolicy()
        self._nursery: trio.Nursery | None = None
        self._scopes: dict[str, trio.CancelScope] = {}
        self._attempt_scopes: dict[str, trio.CancelScope] = {}

    @property
    def children(self) -> list[str]:
        """The names of the running children."""
        return sorted(self._scopes)

    async def run(
        self,
        children: list[Child],
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs the children until all are done or one fails too often.

        Raises:
          GaveUpError: A child failed too often.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for child in children:
                    self.add(child)
                task_status.started()
        except* GaveUpError as group:
            raise group.exceptions[0] from None
        finally:
            self._nursery = None

    def add(self, child: Child) -> None:
        """Starts a child of a running supervisor.

        Does nothing if a child of that name is already running.
        """
        if child.name in self._scopes or self._nursery is None:
            return
        scope = trio.CancelScope()
        self._scopes[child.name] = scope
        self._nursery.start_soon(self._supervise, child, scope)

    def remove(self, name: str) -> None:
        """Stops a child permanently. An unknown name is ignored."""
        scope = self._scopes.get(name)
        if scope is not None:
            scope.cancel()

    def reconcile(
        self, prefix: str, wanted: Mapping[str, ChildFunction]
    ) -> None:
        """Starts and stops children until those with a prefix match `wanted`.

        Args:
          prefix: Start of the names; other children are not affected.
          wanted: Functions to run, by the name without the prefix.
        """
        for name in self.children:
            if name.startswith(prefix) and name[len(prefix) :] not in wanted:
                self.remove(name)
        for name, run in wanted.items():
            self.add(Child(prefix + name, run))

    def restart(self, name: str) -> None:
        """Cancels the current run of a child, which is then restarted."""
        attempt = self._attempt_scopes.get(name)
        if attempt is not None:
            attempt.cancel()

    async def _supervise(self, child: Child, scope: trio.CancelScope) -> None:
        path = f"{self.path}/{child.name}"
        task_times.current_path.set(path)
        failures: collections.deque[float] = collections.deque()
        backoff_s = self._policy.initial_backoff_s
        try:
            with scope:
                while True:
                    started = trio.current_time()
                    error = await self._attempt(child)
                    if error is None and not child.permanent:
                        return
                    now = trio.current_time()
                    if now - started > self._policy.window_s:
                        backoff_s = self._policy.initial_backoff_s
                    failures.append(now)
                    while failures[0] < now - self._policy.window_s:
                        failures.popleft()
                    reason = describe(error) if error else "returned"
                    if len(failures) >= self._policy.max_failures:
                        supervisor_gave_up(path, reason)
                        raise GaveUpError(
                            path, "local", f"failed too often: {reason}"
                        )
                    child_failed(path, reason, backoff_s)
                    await trio.sleep(backoff_s)
                    backoff_s = min(backoff_s * 2, self._policy.max_backoff_s)
        finally:
            self._scopes.pop(child.name, None)

    async def _attempt(self, child: Child) -> Exception | None:
        with trio.CancelScope() as attempt:
            self._attempt_scopes[child.name] = attempt
            try:
                await child.run()
            except Exception as error:
                return error
            finally:
                self._attempt_scopes.pop(child.name, None)
        if attempt.cancelled_caught:
            return InterruptedError("interrupted")
        return None
