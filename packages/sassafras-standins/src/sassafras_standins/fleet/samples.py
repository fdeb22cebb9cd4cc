"""A sample configuration for fleets of stand-ins."""

import dataclasses

from sassafras_base import hashing
from sassafras_policy.configuration import document as documents

CLASSES = ("settlement", "lodgement", "status")
NATIONAL_KEY = "national-bank-key"
COOPERATIVE_KEY = "cooperative-key"


def document(
    revision: int = 1, rate_per_s: float = 1000.0, burst: float = 1000.0
) -> documents.Document:
    """Returns a configuration with a call chain of three services."""
    return documents.Document(
        revision=revision,
        classes=CLASSES,
        services=(
            documents.Service("desk", ("accounts",)),
            documents.Service("accounts", ("ledger",)),
            documents.Service("ledger"),
        ),
        routes=(
            documents.Route("desk", "GET", "/desk/open", "status", False, True),
            documents.Route("desk", "GET", "/desk/**", "status"),
            documents.Route("desk", "POST", "/desk/**", "lodgement", True),
            documents.Route("accounts", "*", "/accounts/**", "status"),
            documents.Route("ledger", "GET", "/ledger/**", "status"),
            documents.Route("ledger", "PUT", "/ledger/**", "status"),
            documents.Route("ledger", "POST", "/ledger/**", "settlement", True),
        ),
        organisations=(
            documents.Organisation(
                "national-bank",
                rate_per_s,
                burst,
                (documents.Key("main", hashing.digest(NATIONAL_KEY)),),
            ),
            documents.Organisation(
                "cooperative",
                rate_per_s,
                burst,
                (documents.Key("main", hashing.digest(COOPERATIVE_KEY)),),
            ),
        ),
    )


def without_key(
    base: documents.Document, organisation: str
) -> documents.Document:
    """Returns the next revision, without the keys of an organisation."""
    return dataclasses.replace(
        base,
        revision=base.revision + 1,
        organisations=tuple(
            dataclasses.replace(item, keys=())
            if item.name == organisation
            else item
            for item in base.organisations
        ),
    )
