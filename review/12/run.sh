#!/usr/bin/env bash
# Writes record.txt beside it. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONPATH="$root:$root/target/deps:$root/review/parts-3" PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 118 python3 "$here/case.py" "$here"
