import pytest

from known_failures import LIST, listed_failures, mark_listed
from programs import running_system


def pytest_collection_modifyitems(items):
    if LIST.exists():
        mark_listed(items, listed_failures(LIST.read_text()))


def pytest_terminal_summary(terminalreporter):
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known failure: {report.nodeid}")


@pytest.fixture(scope="module")
def started():
    with running_system() as running:
        yield running


@pytest.fixture
def system(started):
    yield started
    started.assert_healthy()
