#!/usr/bin/env bash
# The stand-ins need no build: they are Python files that use the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in stand_ins.py */case.py; do
  python3 - "$file" <<'CHECK'
import ast
import sys

ast.parse(open(sys.argv[1]).read(), sys.argv[1])
CHECK
done
