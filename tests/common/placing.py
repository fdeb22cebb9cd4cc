"""Nodes and targets on virtual time, for tests of the choice among targets.

The nodes are real; sockets between them and to their targets are replaced.
"""

import collections
import dataclasses
import random

import trio

from sassafras_base import clock as clocks
from sassafras_base import errors
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh import settings as mesh_settings
from sassafras_node.mesh.calls import dispatch
from sassafras_node.mesh.calls import local
from sassafras_platform import front_end
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import progress as progresses
from sassafras_policy.limits import limiters
from sassafras_policy.mesh import calls
from sassafras_policy.mesh import targets
from sassafras_wire.http import client
from sassafras_wire.mesh import call_messages
from sassafras_wire.peer import codec
from sassafras_wire.settings import node as node_settings

SERVICE = "back"
ROUTE = "read"
# A target slows down beyond this part of its slots.
KNEE = 0.95


@dataclasses.dataclass
class Target:
    """A target that executes calls, in place of its connections.

    Attributes:
      rng: Source of the differences between calls.
      work_s: Mean time of a call at a target of speed 1.
      speed: Its speed.
      slots: Calls that it executes at once; the others wait.
      knee: Factor of the time of calls beyond `KNEE`.
      slowdown: Returns the factor of the time of calls at a time.
      stated_load: Returns the value of the load header, or None.
      rejected_share: Share of the calls that it rejects at once.
    """

    rng: random.Random
    work_s: float
    speed: float = 1.0
    slots: int = 20
    knee: float = 1.0
    slowdown: object = None
    stated_load: object = None
    rejected_share: float = 0.0

    def __post_init__(self):
        self.running = 0
        self.calls = 0
        self.busy_s = 0.0
        self.most_running = 0
        self.is_down = False
        self._limiter = trio.CapacityLimiter(self.slots)

    async def exchange(self, request, progress, match, deadline):
        """See `pool.ConnectionPool`."""
        del match
        if self.is_down:
            raise errors.UnreachableError("target.call", "target", "down")
        progress.may_have_run = True
        values = dict(request.headers)
        headers = [("request-id", values["request-id"])]
        if self.rng.random() < self.rejected_share:
            return client.Response(503, (*headers, ("not-executed", "1")), b"")
        self.calls += 1
        with trio.move_on_at(deadline) as scope:
            async with self._limiter:
                self.running += 1
                self.most_running = max(self.most_running, self.running)
                started = trio.current_time()
                try:
                    await trio.sleep(self._time_s())
                finally:
                    self.running -= 1
                    self.busy_s += trio.current_time() - started
        if scope.cancelled_caught:
            raise errors.ConnectionLostError("target.call", "target", "late")
        headers.append(("response-signature", "s"))
        load = self.stated_load(self) if self.stated_load else None
        if load is not None:
            headers.append(("instance-load", load))
        return client.Response(200, tuple(headers), b"")

    async def close(self):
        """See `pool.ConnectionPool`."""

    def _time_s(self):
        time_s = self.work_s / self.speed * self.rng.uniform(0.8, 1.2)
        if self.running > KNEE * self.slots:
            time_s *= self.knee
        if self.slowdown is not None:
            time_s *= self.slowdown(trio.current_time())
        return time_s


@dataclasses.dataclass
class Ends:
    """Calls by how they ended."""

    latencies_s: list = dataclasses.field(default_factory=list)
    refused: int = 0
    late: int = 0
    targets: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def offered(self):
        return len(self.latencies_s) + self.refused

    @property
    def missed(self):
        """Share of the calls that were refused, failed or late."""
        return (self.refused + self.late) / self.offered

    def quantile_s(self, share):
        return sorted(self.latencies_s)[int(share * len(self.latencies_s))]


class Fleet:
    """First nodes, and nodes with a target of one service beside them."""

    def __init__(self, balancer, rng, callers, admission="adaptive"):
        self.rng = rng
        self.clock = clocks.TrioClock()
        self.balancer = balancer
        self.admission = admission
        self.nodes = {}
        self.targets = {}
        self._starts = 0
        self.callers = [
            self._add_node(f"caller-{number}", "front", zone)
            for number, zone in enumerate(callers)
        ]

    async def add_target(self, name, target, zone="zone-a", is_known=True):
        """Adds a node with a target; other nodes get its entry at once."""
        self._add_node(name, SERVICE, zone)
        await self.start_target(name, target)

    async def start_target(self, name, target):
        """Starts a target, also in place of an earlier one."""
        self._starts += 1
        self.targets[name] = target
        node = self.nodes[name]
        await node.target.announce(
            targets.Announcement(
                target_id=f"{name}-{self._starts}",
                service=SERVICE,
                address="",
                capacity=target.slots,
                state=targets.State.READY,
                cold_start_s=0.0,
                sequence=1,
                started_ms=self._starts,
            )
        )
        node.target.pool = target
        for other in self.nodes.values():
            other.fleet.update(node.entry)

    def _add_node(self, name, service, zone):
        settings = mesh_settings.MeshSettings(
            host=mesh_settings.HostSettings(
                node_id=name,
                availability_zone=zone,
                caller_address="",
                readiness_address="",
                announcement_address="",
                call_address=name,
                link_address="",
                metrics_address="",
                target_address="",
                target_service=service,
            ),
            store=mesh_settings.StoreSettings("", 1.0),
            bounds=mesh_settings.Bounds(
                revocation_s=5.0,
                configuration_apply_s=2.0,
                grace_s=6.0,
                # Targets here announce themselves once.
                announcement_interval_s=1e6,
                retry_ratio=0.2,
                retry_window_s=10.0,
                retry_extra=100,
                rate_tolerance=limiters.Tolerance(0.1, 20),
            ),
            resources=mesh_settings.Resources(2**29, 4096),
            policy=node_settings.PolicySection(
                balancer=self.balancer,
                admission=self.admission,
                limiter="pooled-share",
            ),
        )
        node = runtimes.Runtime(
            settings,
            interfaces.Platform(
                store=None, front_end=front_end.FrontEnd(), codecs=None
            ),
            self.clock,
            random.Random(self.rng.random()),
        )
        node.call_pools = self
        for other in self.nodes.values():
            node.fleet.update(other.entry)
        self.nodes[name] = node
        return node

    async def exchange(self, address, call, progress, deadline):
        """See `call_pools.CallPools`."""
        node = self.nodes[address]
        progress.may_have_run = True
        zone_delay_s = 0.0005
        await trio.sleep(zone_delay_s)
        received = call_messages.to_call(
            codec.decode(call, ""), trio.current_time()
        )
        response = await local.serve(
            node, received.call, received.target_id, progresses.Progress()
        )
        await trio.sleep(zone_delay_s)
        return codec.decode(call_messages.encode_answer(response, False), "")

    async def send(self, node, ends, aim_s, deadline_s, route=ROUTE):
        """Sends one call from a node."""
        started = trio.current_time()
        request_id = f"r{self.rng.getrandbits(64)}"
        call = calls.Call(
            request=messages.Request(
                "GET", "/read/1", (("request-id", request_id),), b""
            ),
            request_id=request_id,
            caller_service="front",
            organisation="",
            service=SERVICE,
            context=messages.CallContext(
                root_id=request_id,
                organisation="",
                priority=0,
                bucket=self.rng.randrange(messages.BUCKET_COUNT),
                deadline=started + deadline_s,
                depth=1,
                at_most_once=False,
            ),
            is_idempotent=True,
            route=route,
            max_targets=2,
        )
        history = dispatch.SendHistory()
        response = await dispatch.dispatch(node, call, history)
        latency_s = trio.current_time() - started
        if response.outcome is not outcomes.Outcome.RAN:
            ends.refused += 1
            return
        ends.latencies_s.append(latency_s)
        ends.late += latency_s > aim_s
        ends.targets[history.tried[-1]] += 1

    async def load(
        self, rate_per_s, span_s, aim_s=1.0, deadline_s=3.0, nodes=None
    ):
        """Sends calls from random nodes; returns how they ended."""
        nodes = nodes or self.callers
        ends = Ends()
        until = trio.current_time() + span_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await trio.sleep(self.rng.expovariate(rate_per_s))
                nursery.start_soon(
                    self.send, self.rng.choice(nodes), ends, aim_s, deadline_s
                )
        return ends

    def busy_shares(self, span_s):
        """Returns the mean share of busy slots of each target, and resets."""
        shares = {}
        for name, target in self.targets.items():
            shares[name] = target.busy_s / span_s / target.slots
            target.busy_s = 0.0
        return shares
