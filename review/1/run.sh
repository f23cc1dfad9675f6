#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review exec python3 "$here/case.py"
