"""Copies the workspace's packages next to the libraries in target/deps.

The platform mounts the repository read-only, so byte code is compiled ahead of
time.
"""

import compileall
import pathlib
import shutil

_DESTINATION = pathlib.Path("target/deps")
_SOURCES = (
    "packages/sassafras-base/src/sassafras_base",
    "packages/sassafras-policy/src/sassafras_policy",
    "packages/sassafras-wire/src/sassafras_wire",
    "packages/sassafras-node/src/sassafras_node",
    "platform/src/sassafras_platform",
)


def main() -> None:
    """Replaces the copied packages and compiles all byte code."""
    for source in _SOURCES:
        path = pathlib.Path(source)
        copy = _DESTINATION / path.name
        shutil.rmtree(copy, ignore_errors=True)
        shutil.copytree(
            path, copy, ignore=shutil.ignore_patterns("__pycache__")
        )
    compileall.compile_dir(str(_DESTINATION), quiet=1, workers=1)


if __name__ == "__main__":
    main()
