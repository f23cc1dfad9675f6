# Sourced by the other scripts: creates the virtual environment, updates it if
# requirements.lock or pyproject.toml has changed, and puts it on PATH.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
venv=${ENDIVELUG_VENV:-$root/.venv}
stamp=$(cat "$root/requirements.lock" "$root/pyproject.toml" | sha256sum | cut -c1-16)
if [ ! -x "$venv/bin/python" ]; then
    python3 -m venv "$venv"
fi
if [ -z "${ENDIVELUG_VENV:-}" ] && [ ! -e "$venv/.stamp-$stamp" ]; then
    "$venv/bin/pip" install --quiet --disable-pip-version-check \
        --requirement "$root/requirements.lock"
    "$venv/bin/pip" install --quiet --disable-pip-version-check \
        --no-deps --editable "$root"
    rm -f "$venv"/.stamp-*
    touch "$venv/.stamp-$stamp"
fi
export PATH="$venv/bin:$PATH"
# With a shared environment (ENDIVELUG_VENV), run the code of this checkout instead of
# the installed one.
export PYTHONPATH="$root/src:$root"
