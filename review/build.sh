#!/usr/bin/env bash
# Compiles the stand-ins; they need Python's own library and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
