"""The state of one mesh node."""

import math
import random

import trio

from sassafras_base import clock as clocks
from sassafras_base import errors
from sassafras_node import drain as drains
from sassafras_node.limits import gate as limit_gates
from sassafras_node.mesh import connections
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import measurements
from sassafras_node.mesh import members_relay
from sassafras_node.mesh import rate_division
from sassafras_node.mesh import settings as mesh_settings
from sassafras_node.mesh.peers import call_pools
from sassafras_node.mesh.targets import local_target
from sassafras_node.peers import target_tracking
from sassafras_policy.admission import memory as memories
from sassafras_policy.admission import priorities
from sassafras_policy.admission import processor
from sassafras_policy.admission import returns
from sassafras_policy.admission import whole_requests
from sassafras_policy.balancing import balancers
from sassafras_policy.limits import limiters
from sassafras_policy.mesh import calls
from sassafras_policy.mesh import configuration
from sassafras_policy.mesh import downstream
from sassafras_policy.mesh import eras
from sassafras_policy.mesh import evacuation
from sassafras_policy.mesh import fleet as fleets
from sassafras_policy.mesh import freshness
from sassafras_policy.mesh import rate_lease
from sassafras_policy.mesh import readers
from sassafras_policy.mesh import retry_budget
from sassafras_policy.mesh import routing
from sassafras_policy.mesh import targets
from sassafras_wire.http import deadlines
from sassafras_wire.http import disconnects
from sassafras_wire.http import server as http_server
from sassafras_wire.peer import link as links

# After an outage of the store, a live node writes its entry again within this
# time. The deployments count nodes as gone after 2 s.
_ENTRY_REWRITE_S = 2.5
# A node that has lost the store stops serving requests with keys after some
# time. Its entry lasts longer than that, so that its share of the rates is not
# given to others while it still uses it.
_LEASE_MARGIN_S = 1.0

# Part of the process's memory limit for the interpreter, its libraries, the
# state of the node and its connections.
_BASE_MEMORY_BYTES = 75 * 1024 * 1024
# Copies of a body while it is received, decoded or encoded.
_BODY_COPIES = 3
# Requests and responses share the rest, so that neither starves the other.
_BODY_KINDS = 2
# Of a limit that leaves no room for bodies beside the base.
_MIN_BODY_MEMORY_SHARE = 0.05

# Timeouts of calls and of idle connections may be late by these intervals.
_CALL_DEADLINE_INTERVAL_S = 0.02
_IDLE_DEADLINE_INTERVAL_S = 1.0

# Shares of rates that are divided by demand allow for demand of this age.
_MIN_PING_INTERVAL_S = 2.0
# Bounds the processor time for pings in a large fleet.
_MAX_PINGS_PER_S = 20.0

# Bounds the task that opens a link; requests wait for tokens for less.
_LINK_CONNECT_TIMEOUT_S = 0.5


class Runtime:
    """State shared by the tasks of one node, with the source of each part.

    Attributes:
      settings: The node's settings; replaced on reload.
      platform: The adapter.
      clock: Source of time.
      routing: Index of the active configuration; None before the first.
      scale: The priorities of that configuration.
      document: Encoded form of that configuration, for other nodes.
      freshness: Age of the proof that it is the newest.
      evacuations: Availability zones whose targets get no calls.
      fleet: The other nodes; updated by the store and by control links.
      target: The local target; updated by its announcements.
      target_tracker: Load and health of targets; updated by responses.
      balancer: Choice among targets.
      retry_budget: Budget for further sends to each service.
      limiter: Rates of organisations.
      rates: Division of these rates among the nodes.
      limit_gate: Admission by the limiter.
      call_pools: Connections for calls to other nodes.
      downstream_levels: Admission levels of downstream services; updated by
        responses.
      requests: Admission of requests by the room of all services behind their
        routes; updated by responses.
      token_schedule: When callers without a token were told to come back.
      processor: Admission level of this node's own processor.
      running_calls: Calls that the local target is running, by id.
      drain: Work in flight and planned stop.
      store_era: The newest era of the store that this node knows of.
      is_unproved: Whether the last read of the configuration did not prove the
        active one the newest.
      era_changed: Set and replaced when the store has come back from a copy.
      lease: Lease of this node's entry; 0 for none.
      lease_era: Era of the store in which the lease is known to be this node's.
      rate_lease: Until when this node may use its part of the rates.
      lease_begun: Set and replaced when the entry has a new lease.
      entry_position: Position of the store at which the entry was written last.
      stored_entry_number: Number of this node's entry in the store; 0 while the
        store has none.
      entry_stored: Set and replaced when the entry has been written.
      readers: Which nodes of the zone read the store for the others.
      unusable_readers: Nodes that cannot be reached or do not reach the store.
      linked: Nodes to which this one keeps control links.
      reaches_store: Whether the last call to the store was answered.
      members: The entries that it has read, for the nodes of its zone.
      members_read: Set when the entries and records of all nodes have been
        read once.
      is_fleet_loaded: Whether this node counts all others, and they count it.
        Until then, it would use a part of the rates that is in use elsewhere.
      ended_nodes: When nodes whose records may be left in the store ended or,
        if they have not come back by then, will be taken for ended.
      is_leaving: Whether other nodes should send no more calls.
      measurements: Counters and latencies.
      connections: The connections that this node accepts, and their limits.
      sub_call_failed_at: When a sub-call of the local target last failed.
      entry_changed: Set and replaced when this node's entry changes.
      relay_changed: Set and replaced when this node has read a change from the
        store that other nodes of its zone wait for.
      own_entry_removed: Set when the store has lost this node's entry;
        replaced when it has been written.
      http_limits: Bounds on requests.
      body_budget: Bytes of request bodies held by all connections.
      response_budget: Bytes of responses held for all calls.
      disconnects: Detects clients that disconnect while they are served.
      call_deadlines: Ends exchanges with targets and nodes at their deadlines.
      idle_deadlines: Closes connections that are idle for too long.
    """

    def __init__(
        self,
        settings: mesh_settings.MeshSettings,
        platform: interfaces.Platform,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.routing: routing.RoutingTable | None = None
        self.scale = priorities.PriorityScale()
        self.document = b""
        self.freshness = freshness.Freshness(settings.bounds.revocation_s)
        self.fleet = fleets.Fleet(
            settings.host.node_id, _ENTRY_REWRITE_S, self.lease_s
        )
        self.evacuations = evacuation.EvacuationState(
            settings.host.availability_zone,
            is_expected=settings.bounds.evacuation_s > 0,
        )
        self.call_deadlines = deadlines.DeadlineMonitor(
            _CALL_DEADLINE_INTERVAL_S
        )
        self.idle_deadlines = deadlines.DeadlineMonitor(
            _IDLE_DEADLINE_INTERVAL_S
        )
        self.measurements = measurements.Measurements()
        self.connections = connections.Connections(
            settings.resources, clock, self.measurements
        )
        self.target = local_target.LocalTarget(
            settings, clock, self.call_deadlines, self.connections.budget
        )
        factory = balancers.balancers.get(settings.policy.balancer)
        self.target_tracker = target_tracking.TargetTracker(
            clock, factory.uses_reports
        )
        self.balancer = factory(rng)  # type: ignore[call-arg]
        self.retry_budget = retry_budget.RetryBudget(
            settings.bounds.retry_ratio,
            settings.bounds.retry_extra,
            settings.bounds.retry_window_s,
        )
        self.limiter = limiters.limiters.get(settings.policy.limiter)()
        self.rates = rate_division.RateDivision(self.limiter, clock, self.fleet)
        self.limit_gate = limit_gates.LimitGate(self.limiter, clock)
        self.call_pools = call_pools.CallPools(
            self.call_deadlines, self.connections.budget
        )
        self.connections.reclaim_from(self.call_pools.close_longest_idle)
        self.downstream_levels = downstream.DownstreamLevels()
        self.requests = whole_requests.request_policies.get(
            settings.policy.requests
        )()
        self.token_schedule = returns.TokenSchedule()
        self.processor = processor.ProcessorAdmission()
        self.running_calls: dict[str, calls.RunningCall] = {}
        self.drain = drains.make_drain()
        self.is_leaving = False
        self.members_read = trio.Event()
        self.is_fleet_loaded = False
        self.ended_nodes: dict[str, float] = {}
        self.store_era = eras.StoreEra()
        self.is_unproved = False
        self.era_changed = trio.Event()
        self.lease = 0
        self.lease_era = 0
        self.rate_lease = rate_lease.RateLease()
        self.lease_begun = trio.Event()
        self.limiter.hold(self.rate_lease.until)
        self.entry_position = eras.Position()
        self.stored_entry_number = 0
        self.entry_stored = trio.Event()
        self.readers = readers.ZoneReaders(
            settings.host.node_id, (settings.host.node_id,)
        )
        self.unusable_readers: set[str] = set()
        self.linked: set[str] = set()
        self.reaches_store = True
        self.members = members_relay.MembersRelay()
        self.entry_changed = trio.Event()
        self.relay_changed = trio.Event()
        self.own_entry_removed = trio.Event()
        self.http_limits = http_server.ServerLimits()
        self.disconnects = disconnects.DisconnectMonitor()
        body_bytes = _body_bytes(settings.resources.memory_bytes)
        self.body_budget = http_server.BodyBudget(
            body_bytes, self.connections.stalled_requests
        )
        self.response_budget = memories.ResponseBudget(
            body_bytes, self.connections.stalled_responses
        )
        self.sub_call_failed_at = -math.inf
        self._incarnation = int(clock.wall() * 1000)
        self._entry: targets.NodeEntry | None = None
        self._entry_source: tuple[object, ...] = ()
        self._entry_number = 0

    @property
    def entry(self) -> targets.NodeEntry:
        """The entry that this node publishes."""
        source = (self.settings.host, self.is_leaving, self.target.published)
        # Read several times for each call, and changed rarely.
        if self._entry is None or source != self._entry_source:
            self._entry = self._make_entry()
            self._entry_source = source
        return self._entry

    def _make_entry(self) -> targets.NodeEntry:
        host = self.settings.host
        self._entry_number += 1
        return targets.NodeEntry(
            node_id=host.node_id,
            incarnation=self._incarnation,
            availability_zone=host.availability_zone,
            call_address=host.call_address,
            link_address=host.link_address,
            is_leaving=self.is_leaving,
            target=self.target.published,
            number=self._entry_number,
        )

    @property
    def lease_s(self) -> float:
        """Time that the lease of this node's entry lasts without renewal."""
        return max(
            self.settings.store.min_lease_s,
            self.settings.bounds.revocation_s + _LEASE_MARGIN_S,
        )

    @property
    def entry_revision(self) -> int:
        """Revision of the store at which the entry was written last."""
        return self.entry_position.revision

    @property
    def may_read_removed(self) -> bool:
        """Whether the store may hold entries of nodes that have ended."""
        return self.store_era.may_hold_removed(
            self.clock.now_with_suspend(), self.lease_s
        )

    @property
    def version(self) -> int:
        """Version of the active configuration; 0 for none."""
        return self.routing.source.version if self.routing else 0

    def limits_cold(self, service: str) -> bool:
        """Returns whether cold targets of a service get a low rate only."""
        return (
            self.routing is not None
            and self.routing.cold_rate_per_s(service) > 0
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers of this host should send new work."""
        if self.drain.is_draining or self.routing is None:
            return False
        if not self.is_fleet_loaded:
            return False
        if not self.routing.source.organisations:
            return True
        return self.freshness.permits_keys(self.clock.now_with_suspend())

    def apply(
        self, document: bytes, decoded: configuration.Configuration
    ) -> bool:
        """Activates a configuration if it is newer than the active one.

        Returns:
          Whether it was activated.
        """
        if decoded.version <= self.version:
            return False
        self.routing = routing.RoutingTable(decoded, self.routing)
        self.document = document
        limits = decoded.limits
        self.http_limits = http_server.ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            # Covers the body as well, which may arrive over a slow link.
            request_timeout_s=max(
                limits.header_timeout_s, limits.idle_timeout_s
            ),
            idle_timeout_s=limits.idle_timeout_s,
        )
        previous, self.scale = self.scale, _scale(decoded)
        self.downstream_levels.rescale(previous, self.scale)
        self.target.set_scale(self.scale)
        self.target.cold_start.configure(
            self.routing.cold_rate_per_s(self.settings.host.target_service)
        )
        self.processor.rescale(self.scale)
        route_names = frozenset(r.name for r in decoded.routes)
        self.downstream_levels.keep_routes(route_names)
        self.requests.configure(
            route_names,
            {
                organisation.account.name: organisation.account.rate_per_s
                for organisation in decoded.organisations
                if organisation.account.rate_per_s > 0
            },
        )
        self.configure_limiter()
        return True

    def configure_limiter(self) -> None:
        """Divides the rates of organisations among the known nodes.

        A node that does not know the others yet takes no part, nor fills pools.
        """
        inputs = self._rate_inputs()
        if inputs is not None and self.is_fleet_loaded:
            self.retry_budget.set_node_count(self.rates.configure(inputs))

    def rate_counterparts(self, unsure: frozenset[str]) -> frozenset[str]:
        """Returns the nodes that must count this one before it uses a share.

        Args:
          unsure: Nodes that may use no share, so that others use it.
        """
        inputs = self._rate_inputs()
        if inputs is None:
            return frozenset()
        return self.rates.counterparts(inputs, unsure)

    def _rate_inputs(self) -> rate_division.RateInputs | None:
        if self.routing is None:
            return None
        return rate_division.RateInputs(
            organisations=tuple(
                organisation.account
                for organisation in self.routing.source.organisations
                if organisation.account.rate_per_s > 0
            ),
            own=self.entry,
            tolerance=self.settings.bounds.rate_tolerance,
        )

    async def open_limit_link(
        self, nursery: trio.Nursery, holder: str
    ) -> links.Link:
        """Opens a link for token requests to a node; see `open_link`."""
        return await self.open_link(nursery, holder, "limits.ask")

    async def open_link(
        self, nursery: trio.Nursery, node_id: str, step: str
    ) -> links.Link:
        """Opens a link to a node.

        Args:
          nursery: Runs the link until it is closed.
          node_id: The node.
          step: What the link is for, for the error.

        Raises:
          UnreachableError: The node is gone or cannot be reached.
        """
        entry = self.fleet.get(node_id)
        if entry is None:
            raise errors.UnreachableError(step, node_id, "no entry")
        return await links.connect(
            nursery, entry.link_address, _LINK_CONNECT_TIMEOUT_S
        )

    @property
    def max_proof_age_s(self) -> float:
        """Age that the proof of the configuration should never reach.

        Requests with a key need a proof that is valid, and a change has to be
        in force in time where the reader of the zone does not pass it on.
        """
        return min(
            self.freshness.valid_s, self.settings.bounds.configuration_apply_s
        )

    def update_readers(self) -> None:
        """Chooses the readers of the zone among the nodes that are usable."""
        own = self.entry
        usable = [
            entry.node_id
            for entry in self.fleet.entries
            if entry.availability_zone == own.availability_zone
            and not entry.is_leaving
            and entry.node_id not in self.unusable_readers
        ]
        if self.reaches_store and not own.is_leaving:
            usable.append(own.node_id)
        self.readers = readers.choose(
            own.availability_zone, own.node_id, usable
        )

    def ping_interval_s(self, node_id: str) -> float:
        """Returns the time between two pings to a node."""
        if node_id in self.readers.candidates:
            interval_s = readers.ping_interval_s(self.max_proof_age_s)
            is_reader = node_id == self.readers.candidates[0]
            return interval_s if is_reader else 2 * interval_s
        if self.rates.demand:
            # The shares of a rate follow demand that is this old.
            return _MIN_PING_INTERVAL_S
        return max(_MIN_PING_INTERVAL_S, len(self.fleet) / _MAX_PINGS_PER_S)

    def forget_node(self, node_id: str) -> None:
        """Drops the state kept for a node that is gone."""
        self.ended_nodes[node_id] = self.clock.now_with_suspend()
        self.unusable_readers.discard(node_id)
        self.target_tracker.drop(node_id)
        self.rates.forget(node_id)

    def effective_level(self, call: calls.Call) -> int:
        """Returns the lowest admission level for a call here and downstream.

        Each node forwards the lowest level downstream of it, so that the first
        node refuses calls that would fail later. Routes that call each other in
        a cycle would keep their levels tight; the levels loosen when no
        responses arrive.
        """
        gate = self.target.gate
        now = self.clock.now()
        own_level = min(gate.level, self.processor.level)
        return self.downstream_levels.min_level(
            call.route, own_level, self.scale, now
        )

    def admission_levels(self, call: calls.Call) -> dict[str, int]:
        """Returns the levels that a new request has to pass at its first node.

        Returns:
          The level of this node's processor and that of the service, as far as
          responses have told it. The latter is open where requests are admitted
          by the room of the service instead.
        """
        if self.requests.is_active and self.requests.covers(
            call.service, self.clock.now()
        ):
            return {
                "processor_level": self.processor.level,
                "service_level": self.scale.open_level,
            }
        service_level = self.downstream_levels.level(
            call.service, call.route, self.scale, self.clock.now()
        )
        return {
            "processor_level": self.processor.level,
            "service_level": math.ceil(service_level),
        }

    def publish_entry(self) -> None:
        """Wakes the tasks that send this node's entry to others."""
        changed, self.entry_changed = self.entry_changed, trio.Event()
        changed.set()

    def record_era(self, era: int, revision: int | None) -> bool:
        """Records the era of the store in a response or message.

        Args:
          era: The era.
          revision: Revision of the store in the response; None if unknown.

        Returns:
          Whether the store has come back from an older copy. Until it was read
          again, this node's entry and lease are taken for lost.
        """
        now = self.clock.now_with_suspend()
        if not self.store_era.record(era, revision, now):
            return False
        self.stored_entry_number = 0
        changed, self.era_changed = self.era_changed, trio.Event()
        changed.set()
        return True

    def record_stored_entry(self, number: int, position: eras.Position) -> None:
        """Records which entry of this node the store has.

        Args:
          number: Number of the entry.
          position: Position of the store at which it was written.
        """
        self.stored_entry_number = number
        self.entry_position = position
        self.own_entry_removed = trio.Event()
        stored, self.entry_stored = self.entry_stored, trio.Event()
        stored.set()

    def begin_lease(self, ends_at: float) -> None:
        """Records that the entry was written under a new lease.

        Args:
          ends_at: When it ends if it is not renewed.
        """
        self.rate_lease.begin(ends_at)
        begun, self.lease_begun = self.lease_begun, trio.Event()
        begun.set()

    def renew_lease(self, ends_at: float) -> None:
        """Records that the lease of the entry was renewed."""
        self.rate_lease.renew(ends_at)
        self.limiter.hold(self.rate_lease.until)

    def confirm_lease(self, number: int) -> bool:
        """Uses this node's part of the rates, as the others count it.

        Args:
          number: Number of the lease under which they were asked.

        Returns:
          False if that lease has ended since; they have to be asked again.
        """
        was_interrupted = self.rate_lease.until <= self.clock.now_with_suspend()
        if not self.rate_lease.confirm(number):
            return False
        self.is_fleet_loaded = True
        self.configure_limiter()
        if was_interrupted:
            self.rates.restart()
        self.limiter.hold(self.rate_lease.until)
        return True

    def publish_relay(self) -> None:
        """Wakes the tasks that pass on what this node has read."""
        changed, self.relay_changed = self.relay_changed, trio.Event()
        changed.set()


def _body_bytes(memory_bytes: int) -> int:
    """Returns the memory for bodies of requests, and that for responses.

    Args:
      memory_bytes: Memory limit of the process.
    """
    available = max(
        memory_bytes - _BASE_MEMORY_BYTES,
        int(memory_bytes * _MIN_BODY_MEMORY_SHARE),
    )
    return available // (_BODY_COPIES * _BODY_KINDS)


def _scale(source: configuration.Configuration) -> priorities.PriorityScale:
    """Returns the priorities of routes and organisations."""
    return priorities.scale_of(
        [route.priority for route in source.routes]
        + [o.priority for o in source.organisations if o.priority is not None]
    )
