"""Text that `sassafras-node --help` and `--helpfull` show above the flags."""

import inspect
import types

from sassafras_node import supervisor as root
from sassafras_node.admin import supervisor as admin
from sassafras_node.callers import supervisor as callers
from sassafras_node.limits import supervisor as limits
from sassafras_node.membership import supervisor as membership
from sassafras_node.mesh import supervisor as mesh
from sassafras_node.mesh.callers import supervisor as mesh_callers
from sassafras_node.mesh.peers import supervisor as mesh_peers
from sassafras_node.mesh.store import supervisor as mesh_store
from sassafras_node.mesh.targets import supervisor as mesh_targets
from sassafras_node.peers import supervisor as peers
from sassafras_node.store import supervisor as store
from sassafras_node.targets import supervisor as targets

SUPERVISORS: dict[str, types.ModuleType] = {
    "node": root,
    "node/store": store,
    "node/peers": peers,
    "node/membership": membership,
    "node/limits": limits,
    "node/targets": targets,
    "node/callers": callers,
    "node/admin": admin,
    "node/mesh": mesh,
    "node/mesh/store": mesh_store,
    "node/mesh/peers": mesh_peers,
    "node/mesh/targets": mesh_targets,
    "node/mesh/callers": mesh_callers,
}


def describe(program: str) -> str:
    """Returns the usage of the program and its supervisor tree."""
    lines = [
        f"USAGE: {program} --settings=FILE",
        "",
        "Runs the node of one target. SIGTERM ends it after the calls in",
        "flight. Exit codes: 0 after a planned stop, 1 after a failure, 2 for",
        "settings that are not valid.",
        "",
        "The tasks of the node, each restarted alone when it fails. Those of",
        "node/mesh are run instead of the others on the users' platform, by",
        "python -m sassafras_platform:",
    ]
    for path, module in SUPERVISORS.items():
        lines.append(f"  {path}")
        lines += [f"    {line}" for line in _children(module)]
    return "\n".join(lines) + "\n"


def _children(module: types.ModuleType) -> list[str]:
    """Returns the lines of a supervisor's docstring after its summary."""
    _, _, rest = (inspect.getdoc(module) or "").partition("\n\n")
    return rest.splitlines()
