#!/usr/bin/env bash
# The stand-ins need only the standard library of Python 3.11 or newer: this checks that all of
# them can be compiled. It writes nothing.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'EOF'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
EOF
