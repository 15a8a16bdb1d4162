#!/usr/bin/env bash
# The stand-ins of review/11 to review/15 are Python programs of the standard
# library, so that nothing has to be built; this checks that they compile.
set -e
cd "$(dirname "$0")/.."
python3 - review/common-3/*.py review/1[1-5]/*.py <<'PY'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.is_file():
        compile(path.read_text(encoding="utf-8"), name, "exec")
PY
