"""State of one node process, and the tasks that update each part."""

import pathlib
import random

import trio

from sassafras_base import clock as clocks
from sassafras_base import errors
from sassafras_base import supervision
from sassafras_node import drain as drains
from sassafras_node.calls import contexts
from sassafras_node.limits import gate as gates
from sassafras_node.membership import last_seen
from sassafras_node.membership import neighbours
from sassafras_node.peers import outbox
from sassafras_node.peers import pool as peer_pool
from sassafras_node.peers import target_tracking
from sassafras_node.reports import recorder
from sassafras_node.targets import local_target
from sassafras_policy.admission import levels
from sassafras_policy.balancing import balancers
from sassafras_policy.configuration import active_configuration
from sassafras_policy.configuration import indexes
from sassafras_policy.idempotency import homes
from sassafras_policy.idempotency import record_deposits
from sassafras_policy.idempotency import records as idempotency_records
from sassafras_policy.limits import limiters
from sassafras_policy.membership import active_roster
from sassafras_policy.membership import records
from sassafras_policy.membership import roster as rosters
from sassafras_policy.membership import table as tables
from sassafras_policy.retries import backoff
from sassafras_policy.retries import guard
from sassafras_policy.retries import policies as retry_policies
from sassafras_wire.http import deadlines
from sassafras_wire.http import disconnects
from sassafras_wire.http import server as http_server
from sassafras_wire.peer import authentication
from sassafras_wire.peer import link as links
from sassafras_wire.settings import node as node_settings
from sassafras_wire.store import client as store_client

# The timeout of an idle connection may be late by this interval.
_IDLE_DEADLINE_INTERVAL_S = 1.0


class Runtime:
    """State that the tasks of one node share.

    Attributes:
      settings: The node's settings.
      clock: Source of time.
      configuration: The active configuration; updated by store and peers.
      roster: The active roster; updated by store and peers.
      table: Membership; updated by peers, detector and the target's session.
      contexts: Call contexts of calls at the local target.
      limiter: Rates of organisations.
      limit_gate: Admission by the limiter; updated by the token exchange.
      balancer: Choice among targets.
      retry_policy: Whether a failed call is tried again.
      retry_guard: Bounds the ratio of retries to first attempts of this node.
      backoff: Delays before a retry at the same target.
      homes: Which node keeps the record of an idempotency key.
      idempotency: Idempotency records kept by this node.
      record_deposits: Idempotency records of peers that are being restarted.
      running_keys: Events of the keys in use, set when the first request ends.
      store: Client of the platform's key-value service.
      credentials: Identity and peer secret.
      drain: Work in flight and planned stop.
      target: The local target; updated by the target's session.
      service_levels: Admission levels of services, reported in responses.
      target_tracker: Load and health of targets as observed by this node.
      peer_pools: Call connections to peers.
      neighbours: Chooses the neighbours that get heartbeats.
      last_seen: Time of the last message from each neighbour.
      outbox: Membership changes still to be sent.
      recorder: Results of root requests; updated by callers' sessions.
      supervisors: Running supervisors by path.
      changed: Set and replaced when membership or configuration changes.
      watcher_active: Set while this node is its availability zone's watcher.
      watcher_inactive: Set while it is not.
      http_limits: Bounds on requests.
      body_budget: Bytes of request bodies held by all connections.
      disconnects: Detects callers that disconnect while they are served.
      idle_deadlines: Closes connections that are idle for too long.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.configuration = active_configuration.ActiveConfiguration()
        self.roster = active_roster.ActiveRoster()
        own = records.NodeRecord(
            node_id=settings.host.peer_address,
            availability_zone=settings.host.availability_zone,
            incarnation=int(clock.wall() * 1000),
            version=1,
            status=records.Status.ALIVE,
            caller_address=settings.host.caller_address,
        )
        self.table = tables.MembershipTable(own)
        self.contexts = contexts.ContextTable()
        self.limiter = limiters.limiters.get(settings.policy.limiter)()
        self.limit_gate = gates.LimitGate(self.limiter, clock)
        factory = balancers.balancers.get(settings.policy.balancer)
        self.balancer = factory(rng)  # type: ignore[call-arg]
        self.retry_policy = retry_policies.retry_policies.get(
            settings.policy.retries
        )()
        self.retry_guard = guard.RetryGuard()
        self.backoff = backoff.Backoff(rng)
        self.homes = homes.Homes(
            own.node_id, own.incarnation, clock.now_with_suspend()
        )
        self.idempotency = idempotency_records.RecordTable()
        self.record_deposits = record_deposits.RecordDeposits()
        self.running_keys: dict[str, trio.Event] = {}
        self.store = store_client.StoreClient(settings.store)
        self.credentials = links.Credentials(
            identity=authentication.Identity(
                own.node_id, own.incarnation, own.availability_zone
            ),
            secret=_read_secret(settings.peers.secret_file),
        )
        self.drain = drains.make_drain()
        http = settings.http
        self.disconnects = disconnects.DisconnectMonitor()
        self.idle_deadlines = deadlines.DeadlineMonitor(
            _IDLE_DEADLINE_INTERVAL_S
        )
        self.body_budget = http_server.BodyBudget(http.buffered_bytes)
        self.http_limits = http_server.ServerLimits(
            header_bytes=http.header_bytes,
            body_bytes=http.body_bytes,
            request_timeout_s=http.request_timeout_s,
            idle_timeout_s=http.idle_timeout_s,
        )
        self.target = local_target.LocalTarget(settings, clock)
        self.service_levels = levels.ServiceLevels()
        self.target_tracker = target_tracking.TargetTracker(clock)
        self.peer_pools = peer_pool.PeerPools(
            self.credentials, settings.peers.connections_per_peer
        )
        self.neighbours = neighbours.Neighbours(
            self.table, settings.peers.seeds
        )
        self.last_seen = last_seen.LastSeenTracker()
        self.outbox = outbox.Outbox(self.table)
        self.recorder = recorder.Recorder(self.configuration, clock)
        self.supervisors: dict[str, supervision.Supervisor] = {}
        self.changed = trio.Event()
        self.watcher_active = trio.Event()
        self.watcher_inactive = trio.Event()
        self.watcher_inactive.set()
        self._limiter_context: limiters.LimiterContext | None = None
        self.table.subscribe(self._on_member)
        self.configuration.subscribe(self._on_configuration)
        self.roster.subscribe(self._on_roster)

    async def open_limit_link(
        self, nursery: trio.Nursery, holder: str
    ) -> links.Link:
        """Opens a link for token requests to a holder."""
        return await links.open_link(nursery, holder, self.credentials)

    def start_watching(self) -> None:
        """Makes this node its availability zone's watcher."""
        self.watcher_inactive = trio.Event()
        self.watcher_active.set()

    def stop_watching(self) -> None:
        """Ends this node's role as watcher, if it has it."""
        if self.watcher_active.is_set():
            self.watcher_active = trio.Event()
        self.watcher_inactive.set()

    def _on_member(self, record: records.NodeRecord) -> None:
        del record
        self._configure_limiter()
        self._wake()

    def _on_configuration(self, index: indexes.Index) -> None:
        self.target.set_scale(index.scale)
        self.target.set_stopped(index.document.stopped_targets)
        self._configure_limiter()
        self._wake()

    def _on_roster(self, roster: rosters.Roster) -> None:
        self.homes.adopt(roster, self.clock.now_with_suspend())
        self._configure_limiter()
        self._wake()

    def _configure_limiter(self) -> None:
        index = self.configuration.index
        if index is None:
            return
        limiter_context = limiters.LimiterContext(
            organisations=index.document.organisations,
            own_id=self.table.own_id,
            hosts=len(self.table.peers) + 1,
            roster=self.roster.current,
            settled=self.roster.is_settled(self.table.all),
        )
        if limiter_context != self._limiter_context:
            self._limiter_context = limiter_context
            self.limiter.configure(
                limiter_context, self.clock.now_with_suspend()
            )

    def _wake(self) -> None:
        """Wakes the tasks that wait for a change."""
        changed, self.changed = self.changed, trio.Event()
        changed.set()


def _read_secret(path: str) -> authentication.Secret:
    try:
        value = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise errors.InvalidInputError(
            "settings.load",
            path,
            [f"[peers] secret_file: cannot be read: {error.strerror}"],
        ) from None
    if len(value) < 16:
        raise errors.InvalidInputError(
            "settings.load",
            path,
            ["[peers] secret_file: the secret must have 16 bytes or more"],
        )
    return authentication.Secret(value)
