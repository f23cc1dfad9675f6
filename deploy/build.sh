#!/usr/bin/env bash
# Installs the pinned requirements and the package under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/requirements.sha256
checksum=$(sha256sum <deploy/requirements.txt)
if [ "$(cat "$stamp" 2>/dev/null)" != "$checksum" ]; then
    rm -rf target/deps
    mkdir -p target/deps
    python3 -m pip install -q --disable-pip-version-check --no-deps \
        --target target/deps -r deploy/requirements.txt
    echo "$checksum" >"$stamp"
fi
rm -rf target/deps/endivelug
cp -r src/endivelug target/deps/endivelug
# Processes can't write here, and each would compile the modules again.
python3 -m compileall -q target/deps/endivelug
