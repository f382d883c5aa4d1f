#!/usr/bin/env bash
# Builds every stand-in that a script of review 3 starts. They are Python programs in review/common-3 and beside each script,
# so that nothing is to be compiled; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import tomllib  # of Python 3.11; the scripts read the deploy file with it

for path in sorted([*pathlib.Path("common-3").glob("*.py"), *(path for number in range(11, 16) for path in pathlib.Path(str(number)).glob("*.py"))]):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print(path, "can be loaded")
PYTHON
