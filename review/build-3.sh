#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: compiles them, and the project's own store that they use, below target/.
# Needs no network. It runs after the `build` line of deploy/system.toml, which places the libraries in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
export PYTHONPYCACHEPREFIX="$PWD/target/review-3" PYTHONPATH="$PWD:$PWD/target/deps:$PWD/review/parts-3"
python3 -m compileall -q review/parts-3 comfreywind
for case in review/1[1-5]/case.py; do
  [ -f "$case" ] && python3 -m py_compile "$case"
done
python3 -c 'import rig'
echo "stand-ins built"
