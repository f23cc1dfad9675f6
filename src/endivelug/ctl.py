"""Command line of ``endivelugctl``: check, diff, apply, status and explain.

Exit codes
----------
0  done; for apply and status: in force in every data centre
1  failed and nothing was changed
2  wrong arguments or settings
3  the lists were refused
4  another edit came first
5  durable, but not known to be in force in every data centre
6  it is unknown whether the edit was made
"""

import asyncio
import inspect
import sys
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import defopt

import endivelug
from endivelug import ctl_commands, ctl_explain
from endivelug.ctl_output import Output
from endivelug.exceptions import (
    EditOutcomeUnknown,
    EndivelugError,
    ListError,
    RevisionConflict,
    SettingsError,
)

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_LISTS = 3
EXIT_CONFLICT = 4
EXIT_NOT_EVERYWHERE = 5
EXIT_UNKNOWN = 6

DEFAULT_SETTINGS = "/etc/endivelug/vm.ini"
_EXIT_CODES: list[tuple[type[EndivelugError], int]] = [
    (SettingsError, EXIT_USAGE),
    (ListError, EXIT_LISTS),
    (RevisionConflict, EXIT_CONFLICT),
    (EditOutcomeUnknown, EXIT_UNKNOWN),
]


def check(
    *,
    plans: str = "plans.ini",
    organisations: str = "organisations.ini",
    json: bool = False,
) -> int:
    """Validate both lists without contacting the platform.

    Parameters
    ----------
    plans
        Path of the list of plans.
    organisations
        Path of the list of organisations.
    json
        Print one JSON object.
    """
    return _run(json, lambda output: ctl_commands.check(output, plans, organisations))


def diff(
    *,
    settings: str = DEFAULT_SETTINGS,
    plans: str = "plans.ini",
    organisations: str = "organisations.ini",
    json: bool = False,
) -> int:
    """Show what applying the lists would change, and the current revision.

    Parameters
    ----------
    settings
        Path of a settings file with the sections platform and links.
    plans
        Path of the list of plans.
    organisations
        Path of the list of organisations.
    json
        Print one JSON object.
    """
    return _run(
        json,
        lambda output: ctl_commands.diff(output, settings, plans, organisations),
    )


def apply(
    *,
    base: int | None = None,
    settings: str = DEFAULT_SETTINGS,
    plans: str = "plans.ini",
    organisations: str = "organisations.ini",
    wait_s: float = 10.0,
    json: bool = False,
) -> int:
    """Store the lists as the next revision and report where it is in force.

    Parameters
    ----------
    base
        Revision on which the edit of the lists is based. The default is read from
        the file lists.revision in the folder of the plans, which the last apply
        wrote; it is 0 if the file does not exist. Keep that file in version control
        with the lists.
    settings
        Path of a settings file with the sections platform and links.
    plans
        Path of the list of plans.
    organisations
        Path of the list of organisations.
    wait_s
        Seconds to wait until every data centre has the revision in force.
    json
        Print one JSON object.
    """
    return _run(
        json,
        lambda output: ctl_commands.apply(
            output, settings, plans, organisations, base=base, wait_s=wait_s
        ),
    )


def status(*, settings: str = DEFAULT_SETTINGS, json: bool = False) -> int:
    """Show the revision in the table and the one in force in each data centre.

    Parameters
    ----------
    settings
        Path of a settings file with the sections platform and links.
    json
        Print one JSON object.
    """
    return _run(json, lambda output: ctl_commands.status(output, settings))


def explain(
    *,
    organisation: str,
    request: str,
    work_class: str = "",
    settings: str = DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Explain how a running router would admit, place or refuse a chat completion.

    The router runs its decision code on its current state and sends nothing to an
    engine.

    Parameters
    ----------
    organisation
        Name of the organisation that would send the request.
    request
        Path of a file with the JSON body of the chat completion.
    work_class
        ``batch`` to explain the request as one that asks for the batch class.
    settings
        Path of the settings file of the VM whose router explains the request.
    json
        Print one JSON object.
    """
    return _run(
        json,
        lambda output: ctl_explain.explain(
            output,
            settings,
            organisation=organisation,
            request_path=request,
            work_class=work_class,
        ),
    )


COMMANDS: list[Callable[..., int]] = [check, diff, apply, status, explain]


def _run(as_json: bool, command: Callable[[Output], Coroutine[Any, Any, bool]]) -> int:
    output = Output(as_json=as_json)
    try:
        complete = asyncio.run(command(output))
    except EndivelugError as error:
        code = next(
            (code for kind, code in _EXIT_CODES if isinstance(error, kind)), EXIT_FAILED
        )
        output.write_error(error, exit_code=code)
        return code
    output.finish()
    return 0 if complete else EXIT_NOT_EVERYWHERE


def main(argv: Sequence[str] | None = None) -> None:
    """Run one command and exit with its code."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    if arguments == ["--version"]:
        print(endivelug.__version__)
        sys.exit(0)
    codes = inspect.cleandoc(__doc__ or "").partition("----------\n")[2]
    sys.exit(
        defopt.run(
            {command.__name__: command for command in COMMANDS},
            argv=arguments,
            argparse_kwargs={
                "prog": "endivelugctl",
                "epilog": "exit codes:\n" + codes,
            },
            short={},
        )
    )


if __name__ == "__main__":
    main()
