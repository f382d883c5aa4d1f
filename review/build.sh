#!/bin/sh
# The stand-ins of the review are Python files that use the standard library only: there is nothing to build.
set -eu
cd "$(dirname "$0")"
python3 -c 'import asyncio, tomllib'
