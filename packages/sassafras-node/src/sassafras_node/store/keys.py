"""Names of the keys in the platform's key-value service."""

CONFIGURATION = "/sassafras/config"
ROSTER = "/sassafras/roster"
ZONES = "/sassafras/zones/"
HISTORY = "/sassafras/history/"
AUDIT = "/sassafras/audit/"


def zone_watcher(availability_zone: str) -> str:
    """Returns the key that the availability zone's watcher holds."""
    return f"{ZONES}{availability_zone}/watcher"


def zone_members(availability_zone: str) -> str:
    """Returns the key that lists the availability zone's nodes."""
    return f"{ZONES}{availability_zone}/members"
