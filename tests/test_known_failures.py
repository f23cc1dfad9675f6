"""Tests of the list of known failures."""

from known_failures import KnownFailure, listed_failures

LISTED = """Checks that fail because of a real fault that is still open.

test tests/test_a.py::test_b[case-1] (issue 47)
  command: pytest tests/test_a.py
  seen: test tests/test_c.py::test_d (issue 3) passed

flaky test tests/test_e.py::test_f (issue 9)
  command: pytest tests/test_e.py

hunt on a deployment, BUDGET 1 (issue 24)
"""


# Guards against passing over a failing test that is not an entry of its own.
def test_only_entries_of_tests_are_expected_to_fail():
    assert listed_failures(LISTED) == {
        "tests/test_a.py::test_b[case-1]": KnownFailure(issue="issue 47", flaky=False),
        "tests/test_e.py::test_f": KnownFailure(issue="issue 9", flaky=True),
    }
