#!/usr/bin/env bash
# The stand-ins of the second review need only Python's standard library: this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD" python3 -c "import review.rig2.client, review.rig2.deployment, review.rig2.server, review.rig2.store"
