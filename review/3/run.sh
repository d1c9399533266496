#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
exec python3 -B scenario.py
