"""What the response to a request tells about the services that it reached."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """How much room the targets of a service have for further calls.

    Attributes:
      pressure: Work that arrives over the work that they can do; 1.0 keeps all
        of their slots busy.
      wait_s: Time in which the calls that wait now are worked off.
      demand: The pressure that there would be if first nodes refused nothing.
    """

    pressure: float
    wait_s: float
    demand: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReport:
    """Calls of one request at one service, and the room that they found.

    Attributes:
      service: The service.
      calls: How many calls were made, the request's own included.
      slot_s: Time for which they held slots of targets, in total.
      room: Mean room of the targets that they reached.
      age_s: Mean time since those targets measured it.
    """

    service: str
    calls: int
    slot_s: float
    room: Room
    age_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Sum:
    """Sums for one service; those of room and time are weighted by calls."""

    calls: int = 0
    slot_s: float = 0.0
    pressure: float = 0.0
    wait_s: float = 0.0
    demand: float = 0.0
    measured_at: float = 0.0


class ReportSum:
    """Adds up the reports of the calls that one request has made."""

    def __init__(self) -> None:
        self._sums: dict[str, _Sum] = {}

    def add(self, reports: tuple[ServiceReport, ...], now: float) -> None:
        """Adds the reports of one response."""
        for report in reports:
            total = self._sums.get(report.service)
            if total is None:
                total = self._sums[report.service] = _Sum()
            calls = report.calls
            total.calls += calls
            total.slot_s += report.slot_s
            total.pressure += calls * report.room.pressure
            total.wait_s += calls * report.room.wait_s
            total.demand += calls * report.room.demand
            total.measured_at += calls * (now - report.age_s)

    def reports(self, now: float) -> tuple[ServiceReport, ...]:
        """Returns one report for each service."""
        return tuple(
            ServiceReport(
                service,
                total.calls,
                total.slot_s,
                Room(
                    total.pressure / total.calls,
                    total.wait_s / total.calls,
                    total.demand / total.calls,
                ),
                max(0.0, now - total.measured_at / total.calls),
            )
            for service, total in self._sums.items()
        )
