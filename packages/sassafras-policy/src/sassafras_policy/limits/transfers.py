"""Data classes of token transfers between nodes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """A request for tokens.

    Attributes:
      number: Identifies a request among those of one node, so that a late or
        duplicate grant adds no tokens.
      holder: The node that receives the request.
      organisation: The organisation that the tokens belong to.
      wanted: Number of tokens, which may be fractional.
      planned_at: Time of the decision to send the request, in seconds.
    """

    number: int
    holder: str
    organisation: str
    wanted: float
    planned_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The response to a token request.

    Attributes:
      granted: Tokens that the holder has deducted from its share.
      lifetime_s: Seconds within which they must be spent, counted by the
        receiver from the time at which it sent its request.
      next_request_in_s: Seconds to wait before the next request; 0 for none.
      has_pool: Whether the holder has tokens to grant at all. A node that
        counts other nodes than the holder may ask the wrong one.
    """

    granted: float
    lifetime_s: float
    next_request_in_s: float
    has_pool: bool = True
