import ast
import re
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "src" / "endivelug"
ADAPTER = PACKAGE / "platform"
OUTSIDE = [path for path in PACKAGE.rglob("*.py") if ADAPTER not in path.parents]
# Names of headers, calls, fields and variables that the platform defines.
PLATFORM_NAMES = re.compile(
    r"X-(Expect-Instance|Expect-Version|Cache-Salt|Kv-\w+|Credential|Prompt-Prefix|"
    r"Token-Usage|Deadline-Ms|Response-Seal|Not-Executed|Weight-Versions|Tenant)"
    r"|Server-Leaving"
    r"|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|kv-(events|list|move)"
    r"|coldRemainingMs|trafficSplit|targetLatencyMs|kvStoreAddr|kvCapacityTokens"
    r"|ratePerS|plainTokens|token_stream|quotaWindowS|quotaOver|quotaSlack"
    r"|retryBudgetRatio|listenAddrs|internalPorts|ENDIVELUG_NODE_FILE",
    re.IGNORECASE,
)


# Guards against use of the platform's names outside the adapter.
def test_only_the_adapter_uses_the_platforms_names():
    found = [
        f"{path.name}: {match[0]}"
        for path in OUTSIDE
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert found == []


# Guards against code outside the adapter that depends on it.
def test_no_other_module_imports_the_adapter():
    for path in OUTSIDE:
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.ImportFrom(module=str(module)):
                    assert not module.startswith("endivelug.platform"), path
                case ast.Import(names=names):
                    for name in names:
                        assert not name.name.startswith("endivelug.platform"), path


# Guards against routing decisions in the adapter: it uses no clock, random source,
# delay or background task.
def test_the_adapter_makes_no_decisions():
    for path in ADAPTER.glob("*.py"):
        if path.name == "program.py":
            # This module builds the components and passes them clock and random source.
            continue
        text = path.read_text()
        for word in ("import random", "import time", "asyncio.sleep", "create_task"):
            assert word not in text, (path.name, word)
