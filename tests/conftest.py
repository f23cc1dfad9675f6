import pytest

from programs import running_system


@pytest.fixture(scope="module")
def started():
    with running_system() as running:
        yield running


@pytest.fixture
def system(started):
    yield started
    started.assert_healthy()
