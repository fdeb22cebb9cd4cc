"""Checks rules of the code base that the linter does not cover.

Modules are imported, not names; policy and base import no codec or socket;
the two binaries do not import the stand-ins; only the stand-ins start
processes, and no module starts threads; no module is longer than 600 lines.
"""

import ast
import pathlib
import re
import sys

_MAX_LINES = 600
_NAMES_ALLOWED_FROM = {"typing", "collections.abc", "__future__"}
_FORBIDDEN_EVERYWHERE = {"asyncio", "threading", "multiprocessing"}
_PACKAGES = pathlib.Path("packages")
_PLATFORM = pathlib.Path("platform")
# Names of the platform's protocol, allowed in its folder and the stand-ins.
_PLATFORM_NAMES = re.compile(
    r"Not-Executed|Target-Instance|Caller-Service|WeightedBackends"
    r"|ColdRemainingMs|SASSAFRASMOUNT_BOOT|kv-[a-z]+",
    re.IGNORECASE,
)


def _find_faults(path: pathlib.Path) -> list[str]:
    text = path.read_text(encoding="utf-8")
    faults = []
    if text.count("\n") > _MAX_LINES:
        faults.append(f"{path}: over {_MAX_LINES} lines; split it")
    package = _package_of(path)
    if package not in (_PLATFORM.name, "sassafras-standins"):
        faults += [
            f"{path}: {found!r} belongs to the platform; translate it there"
            for found in sorted(set(_PLATFORM_NAMES.findall(text)))
        ]
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.ImportFrom):
            faults += _name_import_faults(path, node)
            modules = [f"{node.module}.{a.name}" for a in node.names]
        elif isinstance(node, ast.Import):
            modules = [alias.name for alias in node.names]
        else:
            continue
        for module in modules:
            reason = _forbidden_reason(package, module)
            if reason:
                faults.append(f"{path}:{node.lineno}: {module}: {reason}")
    return faults


def _package_of(path: pathlib.Path) -> str:
    if path.is_relative_to(_PLATFORM):
        return _PLATFORM.name
    return path.relative_to(_PACKAGES).parts[0]


def _name_import_faults(path: pathlib.Path, node: ast.ImportFrom) -> list[str]:
    if node.module in _NAMES_ALLOWED_FROM:
        return []
    return [
        f"{path}:{node.lineno}: import the module of {alias.name}, not the name"
        for alias in node.names
        if alias.name[:1].isupper()
    ]


def _forbidden_reason(package: str, module: str) -> str:
    top = module.split(".")[0]
    if top in _FORBIDDEN_EVERYWHERE:
        return "processes run on trio and must not start threads"
    if top == "subprocess" and package != "sassafras-standins":
        return "only the stand-ins may start processes"
    if top == "sassafras_platform" and package not in (
        _PLATFORM.name,
        "sassafras-standins",
    ):
        return "the product must not depend on the platform"
    if top == "sassafras_standins" and package != "sassafras-standins":
        return "the product must not depend on the stand-ins"
    if package in ("sassafras-policy", "sassafras-base") and top in (
        "sassafras_wire",
        "sassafras_node",
        "h11",
        "cbor2",
        "websockets",
        "socket",
    ):
        return "policy and base must not depend on codecs or sockets"
    if package == "sassafras-policy" and top == "trio":
        return "policy must not wait"
    return ""


def main() -> int:
    """Prints every fault; returns 1 if there are any."""
    faults = [
        fault
        for root in (_PACKAGES, _PLATFORM)
        for path in sorted(root.rglob("src/**/*.py"))
        for fault in _find_faults(path)
    ]
    print("\n".join(faults) or "imports and module sizes are in order")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
