#!/bin/sh
# Checks the stand-ins of cases 11 to 15. They need the standard library and
# target/ as the build of the deploy file leaves it; nothing else is built.
cd "$(dirname "$0")/.." || exit 1
[ -x target/bin/python3 ] && [ -d target/deps ] || {
    echo "build the deploy file first" >&2
    exit 1
}
for file in review/standins_3.py review/1[1-5]/case.py; do
    [ -f "$file" ] || continue
    target/bin/python3 -c \
        'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
