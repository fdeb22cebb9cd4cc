"""Divides the descriptors and the memory of the process among connections.

Other nodes, the target and the store keep a share of the descriptors whatever
callers do, and their new connections take the place of callers that wait.
"""

from collections.abc import Callable
import functools

import trio

from sassafras_base import clock as clocks
from sassafras_base import events
from sassafras_node.mesh import measurements as mesh_measurements
from sassafras_node.mesh import settings as mesh_settings
from sassafras_policy.admission import connections

# Descriptors that callers leave to others.
_RESERVED_SHARE = 1 / 4
# Connections that others may have open to this node.
_CALL_SHARE = 3 / 16
_LINK_SHARE = 1 / 8
# For announcements, readiness and metrics each; a few clients use them.
_SMALL_SHARE = 1 / 48
_MIN_CONNECTIONS = 8
# Callers' connections have at most this part of the memory. An idle connection
# takes 7 KB; one whose request runs takes more.
_CALLER_MEMORY_SHARE = 1 / 8
_CALLER_BYTES = 16 * 1024
# Each holds several copies of the document. One that is not read ends within
# two seconds; the others wait for it.
_DOCUMENT_SENDS = 8
# Clients that keep reading or sending make progress more often than this.
_MIN_STALL_S = 0.1


@events.declare(824, "WARNING")
def connection_closed(kind: str) -> str:
    """A connection that waited for its client was closed.

    `kind` is the listener whose connections, or of whose process the
    descriptors, were all in use; `request-memory` for a request that was not
    complete, and `response-memory` for a response that was not read, when
    others needed the memory; `unread` for a client that has read nothing of its
    response for the idle timeout.
    """
    return f"closed a connection that waited for its client: {kind}"


class Connections:
    """The connections that this node accepts, and all sockets it has open.

    Attributes:
      budget: Counts the sockets of the process.
      callers: Connections of callers and of the local target.
      readiness: Connections of readiness checks.
      announcements: Connections of the local target's announcements.
      metrics: Connections that read metrics.
      calls: Connections of other nodes for calls.
      links: Control links that other nodes have opened.
      document_sends: Acquired while a link gets the whole configuration.
      stalled_requests: Connections whose requests have not arrived completely.
      stalled_responses: Connections whose responses are not read.
    """

    def __init__(
        self,
        resources: mesh_settings.Resources,
        clock: clocks.Clock,
        measurements: mesh_measurements.Measurements,
    ) -> None:
        self._measurements = measurements
        limit = resources.sockets
        self.budget = connections.SocketBudget(limit)
        self.callers = self._make_group(
            "caller",
            min(
                limit,
                int(
                    resources.memory_bytes
                    * _CALLER_MEMORY_SHARE
                    / _CALLER_BYTES
                ),
            ),
            reserve=int(limit * _RESERVED_SHARE),
        )
        small = max(_MIN_CONNECTIONS, int(limit * _SMALL_SHARE))
        self.readiness = self._make_group("readiness", small)
        self.announcements = self._make_group("announcement", small)
        self.metrics = self._make_group("metrics", small)
        self.calls = self._make_group(
            "call", max(_MIN_CONNECTIONS, int(limit * _CALL_SHARE))
        )
        self.links = self._make_group(
            "link", max(_MIN_CONNECTIONS, int(limit * _LINK_SHARE))
        )
        self.document_sends = trio.Semaphore(_DOCUMENT_SENDS)
        self.stalled_requests = self._make_stalled("request-memory", clock)
        self.stalled_responses = self._make_stalled("response-memory", clock)

    def reclaim_from(self, close_idle: Callable[[], bool]) -> None:
        """Sets what is closed when the process has no descriptor left.

        Args:
          close_idle: Closes an idle connection that this node has opened.
        """
        self.budget.reclaimers = [close_idle, self.callers.close_longest_wait]

    def _make_group(
        self, name: str, limit: int, reserve: int = 0
    ) -> connections.ConnectionGroup:
        group = connections.ConnectionGroup(self.budget, limit, reserve)
        group.on_closed = functools.partial(self._report_closed, name)
        group.on_refused = functools.partial(
            self._measurements.count, "connections_refused", name
        )
        group.on_unread = functools.partial(self._report_closed, "unread")
        return group

    def _make_stalled(
        self, name: str, clock: clocks.Clock
    ) -> connections.StalledConnections:
        stalled = connections.StalledConnections(clock.now, _MIN_STALL_S)
        stalled.on_closed = functools.partial(self._report_closed, name)
        return stalled

    def _report_closed(self, kind: str) -> None:
        self._measurements.count("connections_closed", kind)
        connection_closed(kind)
