import ast
import dataclasses
import inspect
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from endivelug import ctl, settings
from endivelug.busiest import BusiestOrganisations
from endivelug.metrics import RouterMetrics

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "src" / "endivelug").glob("*.py"))
RUN_VALUES = {"NotRun": "not-run", "MayHaveRun": "may-have-run"}
METRIC = re.compile(r"endivelug_[a-z0-9_]*[a-z0-9]")


def table_rows(page: str) -> dict[str, list[str]]:
    """Return the cells of each table row of a page, keyed by its first cell."""
    found = {}
    for line in (ROOT / "docs" / page).read_text().splitlines():
        if re.match(r"\| `", line):
            first, *others = (cell.strip() for cell in line.strip("|").split("|"))
            assert first not in found, f"{page} has {first} twice"
            found[first.strip("`")] = others
    return found


def find_calls(*names: str) -> Iterator[tuple[str, ast.Call, ast.AST]]:
    """Yield each call of the named functions in the source, with its scope."""
    for path in SOURCES:
        tree = ast.parse(path.read_text())
        scopes = [item for item in ast.walk(tree) if isinstance(item, ast.FunctionDef)]
        scopes += [
            item for item in ast.walk(tree) if isinstance(item, ast.AsyncFunctionDef)
        ]
        for scope in scopes:
            for node in ast.walk(scope):
                match node:
                    case ast.Call(func=ast.Name(id=name)) if name in names:
                        yield name, node, scope


def string_values(node: ast.AST) -> set[str]:
    """Return the string values that an expression may have in any branch."""
    match node:
        case ast.Constant(value=str() as value):
            return {value}
        case ast.IfExp(body=body, orelse=orelse):
            return string_values(body) | string_values(orelse)
    return set()


def keyword_values(call: ast.Call, name: str, scope: ast.AST) -> set[str]:
    """Return the string values of a keyword argument, also through local variables."""
    found: set[str] = set()
    for keyword in call.keywords:
        if keyword.arg != name:
            continue
        found |= string_values(keyword.value)
        names = {
            item.id for item in ast.walk(keyword.value) if isinstance(item, ast.Name)
        }
        for node in ast.walk(scope):
            match node:
                case ast.Assign(targets=[ast.Name(id=target)]) if target in names:
                    found |= string_values(node.value)
    return found


def metric_names() -> set[str]:
    """Return the metrics in the router's registry and in the package's source."""
    metrics = RouterMetrics(busiest=BusiestOrganisations())
    found = set(metrics.registry.collectors)
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Constant(value=str() as text) if METRIC.fullmatch(text):
                    found.add(text)
    return found


# Guards against a settings reference that differs from the code.
def test_settings_reference_matches_the_code():
    text = (ROOT / "docs" / "settings.md").read_text()
    documented = {}
    section = ""
    for line in text.splitlines():
        if heading := re.fullmatch(r"## \[(\w+).*\]", line):
            section = heading[1]
        elif row := re.match(r"\| `(\w+)` \| (.*?) \|", line):
            documented[section, row[1]] = row[2].strip("`")
    expected = {}
    for name, kind in [*settings.SECTIONS.items(), ("pool", settings.PoolSettings)]:
        for item in dataclasses.fields(kind):
            default = "empty" if item.default == "" else str(item.default)
            if item.default is dataclasses.MISSING:
                default = "required"
            expected[name, item.name] = default
    assert documented == expected


# Guards against a page that lacks a metric, or lists one that no longer exists.
def test_metrics_page_matches_the_code():
    assert table_rows("metrics.md").keys() == metric_names()


# Guards against documented labels that do not exist in the code.
def test_labels_of_the_metrics_page_are_in_the_code():
    source = "".join(path.read_text() for path in SOURCES)
    for metric, cells in table_rows("metrics.md").items():
        for label in re.findall(r"`(\w+)`", cells[0]):
            in_code = f'"{label}":' in source or f"{label}=" in source
            assert in_code, (metric, label)


# Guards against an undocumented refusal, and against a wrong documented "run" value.
def test_refusals_page_matches_the_code():
    found: dict[str, set[str]] = {"in-progress": {"in-progress"}}
    statuses: dict[str, set[str]] = {}
    for name, call, scope in find_calls(*RUN_VALUES):
        for kind in keyword_values(call, "kind", scope):
            found.setdefault(kind, set()).add(RUN_VALUES[name])
            for keyword in call.keywords:
                if keyword.arg == "status" and isinstance(keyword.value, ast.Constant):
                    statuses.setdefault(kind, set()).add(str(keyword.value.value))
            if name == "MayHaveRun":
                statuses.setdefault(kind, set()).add("502")
    documented = table_rows("refusals.md")
    assert {
        kind: set(re.findall(r"`([\w-]+)`", cells[1]))
        for kind, cells in documented.items()
    } == found
    for kind, kind_statuses in statuses.items():
        row = documented[kind][0] + " " + documented[kind][2]
        for status in kind_statuses:
            assert status in row or f"{status[0]}xx" in row, (kind, status)


# Guards against an undocumented log event.
def test_logs_page_matches_the_code():
    events: dict[str, set[str]] = {}
    for _, call, _ in find_calls("log_change"):
        for event in string_values(call.args[0]) if call.args else set():
            fields = events.setdefault(event, set())
            fields |= {keyword.arg for keyword in call.keywords if keyword.arg}
    documented = {
        event: set(re.findall(r"`(\w+)`", cells[0]))
        for event, cells in table_rows("logs.md").items()
    }
    assert documented == events


# Guards against undocumented keys of the lists, and undocumented errors of their check.
def test_lists_page_matches_the_code():
    keys = set()
    remedies = set()
    for name in ("lists", "_section_reader", "_ini"):
        tree = ast.parse((ROOT / f"src/endivelug/{name}.py").read_text())
        for node in ast.walk(tree):
            match node:
                case ast.Call(func=ast.Attribute(attr="check_section"), args=arguments):
                    keys |= set().union(*(string_values(item) for item in arguments))
            for text in string_values(node):
                for part in text.split("; "):
                    remedy = re.match(
                        r"(?:use|write|remove|name|add|give|or remove|pass) \S.*", part
                    )
                    if remedy and "\n" not in text:
                        remedies.add(re.split(r" ?[(:]", remedy[0])[0].strip())
    page = (ROOT / "docs" / "lists.md").read_text()
    documented = table_rows("lists.md")
    sections = page.split("\n## ")
    assert keys == {
        match
        for section in sections
        if section.startswith(("Plans", "Organisations"))
        for match in re.findall(r"^\| `(\w+)` \|", section, re.M)
    }
    assert len(remedies) > 15
    for remedy in remedies:
        assert any(remedy in first for first in documented), remedy


# Guards against an undocumented command, option or exit code.
def test_commands_of_the_lists_page_match_the_code():
    documented = table_rows("lists.md")
    for command in ctl.COMMANDS:
        options = {
            "--" + name.replace("_", "-")
            for name in inspect.signature(command).parameters
        }
        assert (
            set(re.findall(r"`(--[\w-]+)`", documented[command.__name__][0])) == options
        )
    documented_commands = {
        name for name, cells in documented.items() if "`--json`" in cells[0]
    }
    assert documented_commands == {command.__name__ for command in ctl.COMMANDS}
    codes = {str(code) for name, code in vars(ctl).items() if name.startswith("EXIT_")}
    assert {name for name in documented if name.isdigit()} == codes | {"0"}


ALERTS = (ROOT / "examples" / "alerts.yml").read_text()


# Guards against an alert that can never fire because its metric does not exist.
def test_metrics_of_the_alerts_exist():
    existing = metric_names()
    used = {
        re.sub(r"_(bucket|sum|count)$", "", name)
        if re.sub(r"_(bucket|sum|count)$", "", name) in existing
        else name
        for name in METRIC.findall(ALERTS)
    }
    assert used
    assert used <= existing


# Guards against an alert that does not tell the operator on call what to do.
@pytest.mark.parametrize("alert", ALERTS.split("- alert: ")[1:])
def test_each_alert_has_expression_severity_and_runbook(alert):
    for part in ("expr:", "severity:", "summary:", "runbook:"):
        assert part in alert
    page, anchor = re.search(r"runbook: docs/(\w+\.md)#([\w-]+)", alert).groups()
    headings = re.findall(r"^#+ (.*)$", (ROOT / "docs" / page).read_text(), re.M)
    anchors = {
        re.sub(r"[^\w -]", "", heading.lower()).replace(" ", "-")
        for heading in headings
    }
    assert anchor in anchors


FORWARDING = sorted((ROOT / "src" / "endivelug" / "forwarding").rglob("*.py"))


# Guards against a log event of the forwarding package that the operations page lacks.
def test_operations_page_lists_the_events_of_the_forwarding_package():
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    events = {
        event
        for path in FORWARDING
        for event in re.findall(r'\blog\(\s*"([a-z-]+)"', path.read_text())
    }
    assert len(events) > 20
    assert [event for event in sorted(events) if f"`{event}`" not in page] == []


# Guards against a metric of the forwarding package that the operations page lacks.
def test_operations_page_lists_the_metrics_of_the_forwarding_package():
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    names = {
        name
        for path in FORWARDING
        for name in re.findall(r'"(endivelug_[a-z_]+)"', path.read_text())
    }
    assert len(names) >= 6
    assert [name for name in sorted(names) if f"`{name}`" not in page] == []
