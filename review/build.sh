#!/usr/bin/env bash
# The stand-ins are Python files that need only the standard library; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path().rglob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
    print('ok', path)
CHECK
