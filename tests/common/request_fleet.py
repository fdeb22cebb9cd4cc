"""First nodes, targets and callers on virtual time, without sockets."""

import collections
import dataclasses

import trio

from sassafras_base import clock as clocks
from sassafras_node.targets import gate as gates
from sassafras_policy.admission import levels
from sassafras_policy.admission import policies
from sassafras_policy.admission import priorities
from sassafras_policy.admission import whole_requests
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import reports
from sassafras_policy.mesh import downstream

# As in the deployment, each gets a few requests of a route in a second.
_FIRST_NODES = 10


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of callers, or calls of targets if they have no rate."""

    service: str
    work_s: float
    deadline_s: float
    calls: tuple[str, ...] = ()
    rate_per_s: float = 0.0
    priority: int = 0
    aim_s: float = 0.0


@dataclasses.dataclass
class Target:
    gate: gates.AdmissionGate
    speed: float


@dataclasses.dataclass
class Node:
    requests: whole_requests.RequestAdmission
    levels: downstream.DownstreamLevels


class Fleet:
    """Calls pass through the gates and the policies of real nodes.

    Attributes:
      ends: How requests ended, by route.
      by_organisation: The same by organisation.
    """

    def __init__(self, rng, routes, services, policies_in_use):
        requests, admission = policies_in_use
        self.clock = clocks.TrioClock()
        self.rng = rng
        self.routes = routes
        self.scale = priorities.scale_of(
            route.priority for route in routes.values()
        )
        factory = policies.admission_policies.get(admission)
        self.services = {
            name: [
                Target(
                    gates.AdmissionGate(factory(slots, self.scale), self.clock),
                    speed,
                )
                for speed in speeds
            ]
            for name, (slots, speeds) in services.items()
        }
        self.nodes = [
            Node(
                whole_requests.request_policies.get(requests)(),
                downstream.DownstreamLevels(),
            )
            for _ in range(_FIRST_NODES)
        ]
        self.below = {name: downstream.DownstreamLevels() for name in services}
        self.ends = collections.defaultdict(collections.Counter)
        self.by_organisation = collections.defaultdict(collections.Counter)

    async def call(self, name, context, below=None, parent=""):
        """Returns the response of a target."""
        route = self.routes[name]
        pair = self.rng.sample(self.services[route.service], 2)
        target = min(pair, key=lambda each: each.gate.load)
        gate = target.gate
        response = messages.refusal(outcomes.Reason.OVERLOAD, 503, "full")
        found = reports.ReportSum()
        slot_s = 0.0
        if await gate.enter(context) is gates.AdmissionResult.ADMITTED:
            started = self.clock.now()
            response = await self._execute(route, name, context, target, found)
            slot_s = self.clock.now() - started
            if response.status < 500:
                gate.leave(slot_s, True)
            else:
                gate.leave_with_error()
        now = self.clock.now()
        if gate.room is not None:
            own = reports.ServiceReport(route.service, 1, slot_s, gate.room)
            found.add((own,), now)
        level = self.below[route.service].min_level(
            name, gate.level, self.scale, now
        )
        if below is not None:
            below.record_call(parent, route.service, name)
            below.update(route.service, name, level, self.scale, now)
        return dataclasses.replace(
            response,
            reports=found.reports(now),
            levels=((route.service, level),),
        )

    async def _execute(self, route, name, context, target, found):
        status = 504
        with trio.move_on_at(context.deadline):
            work_s = route.work_s * self.rng.uniform(0.7, 1.3) / target.speed
            await trio.sleep(work_s)
            status = 200
            for called in route.calls:
                status = 504
                now = self.clock.now()
                limit = now + self.routes[called].deadline_s
                inner = dataclasses.replace(
                    context,
                    depth=context.depth + 1,
                    deadline=min(context.deadline, limit),
                )
                below = self.below[route.service]
                response = await self.call(called, inner, below, name)
                found.add(response.reports, self.clock.now())
                status = 200 if response.status == 200 else 500
                if status == 500:
                    break
        return messages.CallResponse(
            outcome=outcomes.Outcome.RAN, status=status
        )

    async def attempt(self, name, deadline, organisation):
        """Returns the response of a first node."""
        route = self.routes[name]
        node = self.rng.choice(self.nodes)
        now = self.clock.now()
        context = messages.CallContext(
            root_id="r",
            organisation=organisation,
            priority=route.priority,
            bucket=self.rng.randrange(messages.BUCKET_COUNT),
            deadline=min(deadline, now + 2 * route.aim_s + 1.0),
            depth=0,
            at_most_once=False,
        )
        ask = whole_requests.Ask(
            name,
            route.service,
            organisation,
            route.priority,
            context.bucket,
            deadline - now,
            route.aim_s,
        )
        decided = node.requests.decide(ask, now)
        level = node.levels.level(route.service, name, self.scale, now)
        is_covered = node.requests.covers(route.service, now)
        delay_s = 0.3 + 0.7 * self.rng.random()
        if isinstance(decided, whole_requests.Shortage):
            delay_s = decided.come_back.delay_s(self.rng.random())
        elif is_covered or not levels.refuses(level, context):
            return await self._send(node, name, context, decided)
        return messages.refusal(
            outcomes.Reason.OVERLOAD,
            503,
            "shed",
            retry_after_ms=int(1000 * delay_s) + 1,
        )

    async def _send(self, node, name, context, decided):
        now = self.clock.now()
        route = self.routes[name]
        context = dataclasses.replace(context, part=decided)
        response = await self.call(name, context)
        node.requests.record_response(
            name, route.service, response, now, self.clock.now()
        )
        for service, found in response.levels:
            node.levels.update(
                service, name, found, self.scale, self.clock.now()
            )
        return response

    async def request(self, name, organisation):
        """A caller that comes back once after a refusal."""
        route = self.routes[name]
        started = self.clock.now()
        deadline = started + route.deadline_s
        response = await self.attempt(name, deadline, organisation)
        if response.outcome is outcomes.Outcome.NOT_RUN:
            left_s = deadline - self.clock.now()
            delay_s = response.retry_after_ms / 1000 or 0.3
            await trio.sleep(min(delay_s, left_s / 3))
            response = await self.attempt(name, deadline, organisation)
        elapsed_s = self.clock.now() - started
        if response.outcome is outcomes.Outcome.NOT_RUN:
            end = "refused"
        elif response.status >= 500:
            end = "failed"
        else:
            end = "in_time" if elapsed_s <= route.aim_s else "late"
        self.ends[name][end] += 1
        self.by_organisation[organisation][end] += 1

    async def load(self, phases, organisations=("a",)):
        """Sends requests by phases and waits for the last of them.

        Args:
          phases: Pairs of the factors on the rates of routes and a time span.
          organisations: Each request is of one of these, chosen at random.
        """
        names = [n for n, route in self.routes.items() if route.rate_per_s]
        until = self.clock.now()
        async with trio.open_nursery() as nursery:
            for factors, span_s in phases:
                until += span_s
                rates = [
                    self.routes[n].rate_per_s * factors.get(n, 1.0)
                    for n in names
                ]
                while self.clock.now() < until:
                    await trio.sleep(self.rng.expovariate(sum(rates)))
                    (name,) = self.rng.choices(names, rates)
                    nursery.start_soon(
                        self.request, name, self.rng.choice(organisations)
                    )


def response_with(found):
    """Returns a response with reports."""
    return messages.CallResponse(
        outcome=outcomes.Outcome.RAN, reports=tuple(found)
    )
