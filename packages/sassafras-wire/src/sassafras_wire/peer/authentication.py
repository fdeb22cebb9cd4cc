"""Mutual authentication of nodes by a shared secret, for each link."""

import dataclasses
import hmac
import secrets

from sassafras_base import errors
from sassafras_wire.peer import models

NONCE_BYTES = 16
_STEP = "peer.authenticate"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The identity that a node claims."""

    node_id: str
    incarnation: int
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Secret:
    """The peer secret; its value is left out of the repr and of log lines."""

    value: bytes = dataclasses.field(repr=False)


def make_hello(identity: Identity) -> models.Hello:
    """Returns an opening message with a fresh nonce."""
    return models.Hello(
        node_id=identity.node_id,
        incarnation=identity.incarnation,
        availability_zone=identity.availability_zone,
        nonce=secrets.token_bytes(NONCE_BYTES),
    )


def make_challenge(
    identity: Identity, hello: models.Hello, secret: Secret
) -> models.Challenge:
    """Returns the listener's response to a hello, with its proof."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    return models.Challenge(
        node_id=identity.node_id,
        incarnation=identity.incarnation,
        availability_zone=identity.availability_zone,
        nonce=nonce,
        proof=_proof(
            secret,
            "listener",
            hello,
            nonce,
            identity.node_id,
            identity.incarnation,
        ),
    )


def check_challenge(
    hello: models.Hello, challenge: models.Challenge, secret: Secret
) -> models.Proof:
    """Returns the opener's proof if the listener's proof is valid.

    Raises:
      AuthenticationError: The listener does not have the peer secret.
    """
    expected = _challenge_proof("listener", hello, challenge, secret)
    if not hmac.compare_digest(expected, challenge.proof):
        raise _mismatch(challenge.node_id)
    return models.Proof(
        proof=_challenge_proof("opener", hello, challenge, secret)
    )


def check_proof(
    hello: models.Hello,
    challenge: models.Challenge,
    proof: models.Proof,
    secret: Secret,
) -> None:
    """Checks the opener's proof.

    Raises:
      AuthenticationError: The opener does not have the peer secret.
    """
    expected = _challenge_proof("opener", hello, challenge, secret)
    if not hmac.compare_digest(expected, proof.proof):
        raise _mismatch(hello.node_id)


def _challenge_proof(
    role: str, hello: models.Hello, challenge: models.Challenge, secret: Secret
) -> bytes:
    return _proof(
        secret,
        role,
        hello,
        challenge.nonce,
        challenge.node_id,
        challenge.incarnation,
    )


def _proof(
    secret: Secret,
    role: str,
    hello: models.Hello,
    nonce: bytes,
    listener_id: str,
    listener_incarnation: int,
) -> bytes:
    parts = (
        role.encode(),
        hello.nonce,
        nonce,
        hello.node_id.encode(),
        str(hello.incarnation).encode(),
        listener_id.encode(),
        str(listener_incarnation).encode(),
    )
    # The length prefixes make the encoding unambiguous.
    joined = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(secret.value, joined, "sha256")


def _mismatch(peer: str) -> errors.AuthenticationError:
    return errors.AuthenticationError(
        _STEP,
        peer,
        "the peer secrets differ",
        "give every node the same [peers] secret_file",
    )
