#!/usr/bin/env bash
# Builds what the scripts start besides the program. The stand-ins are Python, run from source with its
# standard library alone, so there is only their syntax to check.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is missing"; exit 1; }
for source in stand_ins.py */scenario.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source"
done
