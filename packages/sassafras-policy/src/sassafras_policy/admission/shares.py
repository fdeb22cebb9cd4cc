"""Divides the room of a service among those who ask for it."""

import dataclasses

# A request whose caller comes back is admitted this many times as likely. With
# 4, the share followed what had been refused a second before, and oscillated.
PRECEDENCE = 2
# Of a class that gets less than the mean, the part of the mean that it gets at
# least. Without it, all requests of the least important class were refused as
# soon as more than its part was missing.
_FLOOR = 0.7
# The same for an organisation within its class. Operators hold an organisation
# for starved that is served a quarter as often as all.
_ORGANISATION_FLOOR = 0.35


@dataclasses.dataclass(frozen=True, slots=True)
class Asker:
    """Work that one organisation asks for in one class.

    Attributes:
      priority: Rank of the class; 0 is the most important.
      organisation: Name of the organisation; may be empty.
      work: Slot time for each second.
      returned: The part of that work that callers ask for again.
      weight: What it may ask for, relative to the others.
    """

    priority: int
    organisation: str
    work: float
    returned: float = 0.0
    weight: float = 1.0


@dataclasses.dataclass(slots=True)
class Division:
    """The part of the first requests of callers that is admitted.

    Attributes:
      by_class: Part of each class.
      by_asker: Part of an organisation in a class, where it differs.
    """

    by_class: dict[int, float] = dataclasses.field(default_factory=dict)
    by_asker: dict[tuple[int, str], float] = dataclasses.field(
        default_factory=dict
    )

    def part(self, priority: int, organisation: str) -> float:
        """Returns the part that is admitted."""
        part = self.by_asker.get((priority, organisation))
        if part is None:
            part = self.by_class.get(priority, 1.0)
        return part


def divide(askers: list[Asker], share: float) -> Division:
    """Divides a share of the work by class, then among organisations.

    More important classes are served first, but the others keep a floor.
    Within a class, organisations get equal amounts by weight above a floor, as
    far as they ask for them, so that a burst of one is paid for by itself.

    Args:
      askers: Who asks for how much.
      share: The part of all their work that is admitted.
    """
    classes: dict[int, list[Asker]] = {}
    for asker in askers:
        classes.setdefault(asker.priority, []).append(asker)
    floor = _FLOOR * share
    totals = {p: sum(a.work for a in c) for p, c in classes.items()}
    left = (share - floor) * sum(totals.values())
    division = Division()
    for priority in sorted(classes):
        total = totals[priority]
        if total <= 0.0:
            continue
        extra = min(left, (1.0 - floor) * total)
        left -= extra
        part = floor + extra / total
        returned = sum(asker.returned for asker in classes[priority])
        division.by_class[priority] = _first_part(part, total, returned)
        if part < 1.0:
            _divide_class(classes[priority], part, division)
    return division


def _divide_class(askers: list[Asker], part: float, division: Division) -> None:
    """Divides a part of the work of a class among organisations."""
    floor = _ORGANISATION_FLOOR * part
    left = (part - floor) * sum(asker.work for asker in askers)
    weight_left = sum(asker.weight for asker in askers)
    for asker in sorted(askers, key=lambda each: each.work / each.weight):
        wanted = (1.0 - floor) * asker.work
        given = min(wanted, left * asker.weight / weight_left)
        left -= given
        weight_left -= asker.weight
        division.by_asker[asker.priority, asker.organisation] = _first_part(
            floor + given / asker.work, asker.work, asker.returned
        )


def _first_part(part: float, work: float, returned: float) -> float:
    """Returns the part of first requests at which a part of all is admitted.

    Args:
      part: The part of all the work.
      work: All the work.
      returned: The work of callers that come back, who take precedence.
    """
    first = work - returned
    found = part * work / (first + PRECEDENCE * returned)
    if found * PRECEDENCE <= 1.0 or first <= 0.0:
        return min(1.0, found)
    return (part * work - returned) / first
