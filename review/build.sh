#!/usr/bin/env bash
# The stand-ins need Python's standard library only; this checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.deployment"
