#!/usr/bin/env bash
# Installs the pinned requirements and the package under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/requirements.sha256
wanted=$(sha256sum <deploy/requirements.txt)
if [ "$(cat "$stamp" 2>/dev/null)" != "$wanted" ]; then
    rm -rf target/deps
    mkdir -p target/deps
    python3 -m pip install -q --disable-pip-version-check --no-deps \
        --target target/deps -r deploy/requirements.txt
    echo "$wanted" >"$stamp"
fi
rm -rf target/deps/endivelug
cp -r src/endivelug target/deps/endivelug
