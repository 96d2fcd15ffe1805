#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case cannot run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review python3 review/4/case.py
