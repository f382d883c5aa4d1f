#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the change of the configuration.
exec python3 -B "$(dirname "$0")/case.py"
