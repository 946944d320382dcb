#!/usr/bin/env bash
# Plays case 3; TROUBLE=0 plays it without the disturbance.
cd "$(dirname "$0")/../.." && PYTHONDONTWRITEBYTECODE=1 exec python3 -m review.3.case
