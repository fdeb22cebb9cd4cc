#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec target/bin/python3 review/5/case.py
