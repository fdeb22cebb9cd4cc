"""Checks rules of the code base that the linter does not know.

Modules are imported, not names; policy and base import no codec or socket;
the two binaries do not import the stand-ins; no module starts processes or
threads; no module is longer than 600 lines.
"""

import ast
import pathlib
import re
import sys

_MAXIMUM_LINES = 600
_NAMES_ALLOWED_FROM = {"typing", "collections.abc", "__future__"}
_FORBIDDEN_EVERYWHERE = {"asyncio", "threading", "multiprocessing"}
_PACKAGES = pathlib.Path("packages")
_PLATFORM = pathlib.Path("platform")
# The platform's names stay in its folder and in the stand-ins that emulate it.
_PLATFORM_WORDS = re.compile(
    r"Not-Executed|Target-Instance|Caller-Service|WeightedBackends"
    r"|ColdRemainingMs|SASSAFRASMOUNT_BOOT|kv-[a-z]+",
    re.IGNORECASE,
)


def _faults(path: pathlib.Path) -> list[str]:
    text = path.read_text(encoding="utf-8")
    faults = []
    if text.count("\n") > _MAXIMUM_LINES:
        faults.append(f"{path}: over {_MAXIMUM_LINES} lines; split it")
    package = _package_of(path)
    if package not in (_PLATFORM.name, "sassafras-standins"):
        faults += [
            f"{path}: {word!r} is a name of the platform; translate it there"
            for word in sorted(set(_PLATFORM_WORDS.findall(text)))
        ]
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.ImportFrom):
            faults += _names_imported(path, node)
            modules = [f"{node.module}.{a.name}" for a in node.names]
        elif isinstance(node, ast.Import):
            modules = [alias.name for alias in node.names]
        else:
            continue
        for module in modules:
            reason = _forbidden(package, module)
            if reason:
                faults.append(f"{path}:{node.lineno}: {module}: {reason}")
    return faults


def _package_of(path: pathlib.Path) -> str:
    if path.is_relative_to(_PLATFORM):
        return _PLATFORM.name
    return path.relative_to(_PACKAGES).parts[0]


def _names_imported(path: pathlib.Path, node: ast.ImportFrom) -> list[str]:
    if node.module in _NAMES_ALLOWED_FROM:
        return []
    return [
        f"{path}:{node.lineno}: import the module of {alias.name}, not the name"
        for alias in node.names
        if alias.name[:1].isupper()
    ]


def _forbidden(package: str, module: str) -> str:
    top = module.split(".")[0]
    if top in _FORBIDDEN_EVERYWHERE:
        return "processes run on trio and start no threads"
    if top == "subprocess" and package != "sassafras-standins":
        return "only the stand-ins start processes"
    if top == "sassafras_platform" and package not in (
        _PLATFORM.name,
        "sassafras-standins",
    ):
        return "the product does not know the platform"
    if top == "sassafras_standins" and package != "sassafras-standins":
        return "the product does not use the stand-ins"
    if package in ("sassafras-policy", "sassafras-base") and top in (
        "sassafras_wire",
        "sassafras_node",
        "h11",
        "cbor2",
        "websockets",
        "socket",
    ):
        return "decisions know no codec and no socket"
    if package == "sassafras-policy" and top == "trio":
        return "decisions do not wait"
    return ""


def main() -> int:
    """Prints every fault; returns 1 if there are any."""
    faults = [
        fault
        for root in (_PACKAGES, _PLATFORM)
        for path in sorted(root.rglob("src/**/*.py"))
        for fault in _faults(path)
    ]
    print("\n".join(faults) or "imports and sizes are in order")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
