"""Data classes of the exchange of tokens between nodes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request for tokens.

    Attributes:
      number: Distinguishes the asks of one node, so that an answer that is
        late or arrives twice adds no tokens.
      holder: The node that is asked.
      organisation: Whose tokens are wanted.
      wanted: How many; fractions add up.
      planned_at: When the ask was decided on, in seconds.
    """

    number: int
    holder: str
    organisation: str
    wanted: float
    planned_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The answer to an ask.

    Attributes:
      granted: Tokens that the holder has deducted from its share.
      lifetime_s: Seconds within which they must be spent, counted by the
        receiver from the sending of its ask.
      next_in_s: Seconds until another ask is worthwhile; 0 for at any time.
    """

    granted: float
    lifetime_s: float
    next_in_s: float
