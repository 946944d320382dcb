#!/usr/bin/env bash
# Builds the stand-ins and scripts of the cases 4 to 8, after the build of the deploy file.
# They need nothing beside Python's standard library and the daemon in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/small_platform.py review/configurations.py review/one_request.py
python3 -m py_compile review/[4-8]/case.py
python3 -c "import review.small_platform, review.configurations, review.one_request"
PYTHONPATH=target/deps python3 -c "import snowdock.entry.daemon"
echo "built"
