#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They need nothing but Python.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/parts-2/httpd.py review/parts-2/platform_store.py \
    review/parts-2/executor.py review/parts-2/harness.py review/parts-2/waiting.py
for case in 6 7 8 9; do
    python3 -m py_compile "review/$case/case.py"
done
