"""Command that validates the operator's configuration before it is sent.

Exit codes
----------
0  valid, perhaps with warnings
1  errors
2  wrong arguments, or a file that cannot be read
"""

import inspect
import io
import json as json_format
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import defopt

from endivelug.exceptions import EndivelugError
from endivelug.forwarding.config_check.difference import (
    Change,
    check_version,
    compare,
)
from endivelug.forwarding.config_check.entries import ConfigurationEntries
from endivelug.forwarding.config_check.findings import Finding, Place, Severity, warning
from endivelug.forwarding.config_check.rules import check_entries, sort_findings
from endivelug.platform.configuration_reader import (
    ConfigurationReader,
    describe_place,
    read_document,
)
from endivelug.platform.documents import DocumentUnreadable

EXIT_VALID = 0
EXIT_ERRORS = 1
EXIT_USAGE = 2


class FileUnreadable(EndivelugError):
    """A file holds no configuration; name another, or correct it."""


def check(file: str, *, against: str = "", json: bool = False) -> int:
    """Validate a configuration, and list what it changes.

    Parameters
    ----------
    file
        Path of the JSON document.
    against
        Path of the version in force, whose differences from the file are listed.
    json
        Print one JSON object.
    """
    try:
        entries, findings = read_file(file)
        in_force = read_file(against) if against else None
    except FileUnreadable as fault:
        if json:
            print(json_format.dumps({"error": str(fault), "exit_code": EXIT_USAGE}))
        else:
            print(fault, file=sys.stderr)
        return EXIT_USAGE
    changes: list[Change] = []
    if in_force is not None:
        base, faults = in_force
        if _count_errors(findings) or _count_errors(faults):
            # An entry that is left out would be listed as removed or added.
            findings.append(
                warning(
                    Place(),
                    "the changes are not listed, because entries of "
                    f"{file if _count_errors(findings) else against} cannot be decoded",
                    remedy="correct the errors of that file first",
                )
            )
        else:
            changes = compare(base, entries)
            findings += check_version(base, entries)
    findings += check_entries(entries)
    findings = sort_findings(findings)
    valid = not _count_errors(findings)
    if json:
        print(json_format.dumps(_members(findings, changes, valid=valid)))
    else:
        _print_lines(findings, changes)
    return EXIT_VALID if valid else EXIT_ERRORS


def read_file(path: str) -> tuple[ConfigurationEntries, list[Finding]]:
    """Return the entries of a file and the faults of their decoding.

    Raises
    ------
    FileUnreadable
        If the file cannot be read or holds no JSON object.
    """
    try:
        document = read_document(Path(path).read_bytes())
    except OSError as fault:
        message = f"{path}: {fault.strerror}; name a readable file"
        raise FileUnreadable(message) from fault
    except DocumentUnreadable as fault:
        raise FileUnreadable(f"{path}: {fault}; correct the file") from fault
    reader = ConfigurationReader()
    entries = reader.read(document)
    return entries, reader.findings


def _count_errors(findings: list[Finding]) -> int:
    return sum(item.severity is Severity.ERROR for item in findings)


def _members(
    findings: list[Finding], changes: list[Change], *, valid: bool
) -> dict[str, Any]:
    return {
        "valid": valid,
        "findings": [
            {
                "severity": item.severity.value,
                "place": describe_place(item.place),
                "message": item.message,
                "remedy": item.remedy,
            }
            for item in findings
        ],
        "changes": [
            {
                "effect": item.effect.name.lower(),
                "place": describe_place(item.place),
                "message": item.message,
            }
            for item in changes
        ],
    }


def _print_lines(findings: list[Finding], changes: list[Change]) -> None:
    for item in findings:
        place = describe_place(item.place)
        print(f"{item.severity.value}: {place}: {item.message}; {item.remedy}")
    for change in changes:
        place = describe_place(change.place)
        print(f"change: {change.effect.name.lower()}: {place}: {change.message}")
    errors = _count_errors(findings)
    print(
        f"{'valid' if not errors else 'not valid'}: {errors} error(s), "
        f"{len(findings) - errors} warning(s), {len(changes)} change(s)"
    )


def main(argv: Sequence[str] | None = None) -> None:
    """Run the command and exit with its code."""
    if isinstance(sys.stdout, io.TextIOWrapper):
        # Names in a document can hold halves of surrogates, which cannot be encoded.
        sys.stdout.reconfigure(errors="backslashreplace")
    codes = inspect.cleandoc(__doc__ or "").partition("----------\n")[2]
    sys.exit(
        defopt.run(
            check,
            argv=list(sys.argv[1:] if argv is None else argv),
            argparse_kwargs={
                "prog": "python -m endivelug.platform.check_configuration",
                "epilog": "exit codes:\n" + codes,
            },
            short={},
        )
    )


if __name__ == "__main__":
    main()
