"""Implementations of the commands of ``endivelugctl``.

Each command returns whether its result covers every data centre.
"""

import asyncio
import contextlib
import random
import time
from datetime import UTC, datetime
from pathlib import Path

from endivelug._tls import client_context, link_contexts
from endivelug.config_store import ConfigStore
from endivelug.ctl_output import Output
from endivelug.ctl_survey import (
    CONTACT_MARGIN_S,
    AgentSurvey,
    DataCentreReport,
    SurveyResult,
    make_delta,
)
from endivelug.exceptions import ListError, TableUnavailable
from endivelug.links import Identity
from endivelug.lists import describe_change, diff_lists, load_lists
from endivelug.messages import ConfigDelta
from endivelug.settings import Settings, load_settings
from endivelug.vm_list import VmListUnavailable, fetch_vm_list

POLL_INTERVAL_S = 0.5
# File with the revision on which the lists are based. Without it, applying lists that
# lack the edits of others would revert those edits.
BASE_REVISION_FILE = "lists.revision"


def _open_store(settings: Settings) -> contextlib.closing[ConfigStore]:
    # An edit's token must be unique among all editors, so it needs system randomness.
    store = ConfigStore.open(settings.platform, rng=random.SystemRandom())
    return contextlib.closing(store)


async def _make_survey(output: Output, settings: Settings) -> AgentSurvey:
    """Return a survey of the agents of the VM list, or else of the settings."""
    platform = settings.platform
    agents: dict[str, list[str]] = {name: [] for name in settings.vm.all_data_centres()}
    try:
        listed = await fetch_vm_list(
            url=platform.vm_list,
            timeout_s=platform.timeout_s,
            credential=platform.credential,
            tls=client_context(platform.tls_ca),
        )
    except VmListUnavailable as error:
        output.write_progress(f"{error}; using the agent of the settings")
        agents[settings.vm.data_centre].append(settings.agent.listen)
    else:
        for vm in listed:
            if vm.kind == "agent":
                agents.setdefault(vm.data_centre, []).append(vm.address)
    return AgentSurvey(
        agents=agents,
        identity=Identity(
            vm="endivelugctl",
            data_centre="operator",
            role="operator",
            incarnation=time.time_ns() // 1000,
            secret=settings.links.secret.encode(),
        ),
        rng=random.Random(),
        tls=link_contexts(settings.links)[1],
    )


async def check(output: Output, plans_path: str, organisations_path: str) -> bool:
    """Validate both lists."""
    lists = load_lists(plans_path, organisations_path)
    output.write_line(
        f"valid: {len(lists.plans)} plan(s), {len(lists.organisations)} "
        "organisation(s)",
        valid=True,
        plans=len(lists.plans),
        organisations=len(lists.organisations),
    )
    return True


async def diff(
    output: Output, settings_path: str, plans_path: str, organisations_path: str
) -> bool:
    """Show what applying the lists would change."""
    lists = load_lists(plans_path, organisations_path)
    with _open_store(load_settings(settings_path)) as store:
        configuration, head = await store.load()
    lines = [describe_change(item) for item in diff_lists(configuration.lists(), lists)]
    output.write_line(
        f"revision {head.revision}; {len(lines)} change(s)",
        revision=head.revision,
        changes=lines,
    )
    for line in lines:
        output.write_line(line)
    return True


async def apply(
    output: Output,
    settings_path: str,
    plans_path: str,
    organisations_path: str,
    *,
    base: int | None,
    wait_s: float,
) -> bool:
    """Commit the lists, then report where they are in force."""
    lists = load_lists(plans_path, organisations_path)
    settings = load_settings(settings_path)
    base_file = Path(plans_path).with_name(BASE_REVISION_FILE)
    if base is None:
        base = _read_base_revision(base_file)
    with _open_store(settings) as store:
        committed = await store.commit(base=base, lists=lists)
        outcome = "made durable" if committed.changes else "was durable already"
        output.write_line(
            f"revision {committed.revision} {outcome}; "
            f"{len(committed.changes)} change(s)",
            revision=committed.revision,
            durable=True,
            changes=[describe_change(change) for change in committed.changes],
        )
        try:
            base_file.write_text(f"{committed.revision}\n", encoding="utf-8")
        except OSError as error:
            output.write_progress(
                f"{base_file}: {error.strerror}; "
                f"pass --base {committed.revision} next time"
            )
    survey = await _make_survey(output, settings)
    survey_result, in_force_at = await _wait_until_in_force(
        output, survey, committed.revision, delta=make_delta(committed), wait_s=wait_s
    )
    return _print_report(
        output,
        survey_result,
        revision=committed.revision,
        stale_limit_s=settings.agent.stale_limit_s,
        in_force_at=in_force_at,
    )


async def status(output: Output, settings_path: str) -> bool:
    """Show the revision in the table and the one in force in each data centre."""
    settings = load_settings(settings_path)
    revision: int | None = None
    with _open_store(settings) as store:
        try:
            revision = (await store.read_head()).revision
            output.write_line(f"table: revision {revision}", revision=revision)
        except TableUnavailable as error:
            output.write_line(f"table: {error}", revision=None)
    survey_result = await (await _make_survey(output, settings)).query(revision or 0)
    entries = []
    for report in survey_result.data_centres:
        output.write_line(_describe(report, revision or report.lowest_revision))
        entries.append(_json_entry(report))
    for vm in survey_result.vms:
        output.write_line(
            f"  {vm.data_centre} {vm.vm}: revision {vm.revision}, {vm.state}, "
            f"last seen {vm.age_s:.0f} s ago"
        )
    output.write_line(
        f"{len(survey_result.vms)} VM(s)",
        data_centres=entries,
        vms=[
            {
                "vm": vm.vm,
                "data_centre": vm.data_centre,
                "revision": vm.revision,
                "state": vm.state,
                "age_s": round(vm.age_s, 1),
            }
            for vm in survey_result.vms
        ],
    )
    return revision is not None and not survey_result.not_in_force()


def _read_base_revision(path: Path) -> int:
    try:
        return int(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return 0
    except (OSError, ValueError) as error:
        raise ListError(
            problems=[f"{path}: {error}; write the base revision there, or pass --base"]
        ) from error


async def _wait_until_in_force(
    output: Output,
    survey: AgentSurvey,
    revision: int,
    *,
    delta: ConfigDelta | None,
    wait_s: float,
) -> tuple[SurveyResult, float | None]:
    """Poll until all data centres have the revision in force, or until a timeout.

    Returns
    -------
    survey_result : SurveyResult
        Result of the last poll.
    in_force_at : float or None
        Unix time at which the revision was first seen in force in any data centre.
    """
    deadline = time.monotonic() + wait_s
    in_force_at: float | None = None
    last_progress = ""
    while True:
        survey_result = await survey.query(revision, delta)
        if in_force_at is None and any(
            report.in_force() for report in survey_result.data_centres
        ):
            in_force_at = time.time()
        missing = survey_result.not_in_force()
        if not missing or time.monotonic() > deadline:
            return survey_result, in_force_at
        text = "waiting for " + ", ".join(item.data_centre for item in missing)
        if text != last_progress:
            output.write_progress(text)
            last_progress = text
        await asyncio.sleep(POLL_INTERVAL_S)


def _print_report(
    output: Output,
    survey_result: SurveyResult,
    *,
    revision: int,
    stale_limit_s: float,
    in_force_at: float | None,
) -> bool:
    """Print where the revision is in force, and how long an older one may be used."""
    old_revision_until = None
    if in_force_at is not None:
        # After the stale limit without contact with this data centre or the table, a
        # data centre stops serving; any such contact would deliver the revision.
        old_revision_until = in_force_at + stale_limit_s + CONTACT_MARGIN_S
    entries = []
    for report in survey_result.data_centres:
        entry = _json_entry(report)
        text = _describe(report, revision)
        if not report.in_force():
            entry["old_revision_until"] = _format_utc(old_revision_until)
            text += (
                f"; an older revision, and plans that this one revokes, may be used "
                f"there until {_format_utc(old_revision_until)}"
                if old_revision_until is not None
                else "; the revision is not known to be in force in any data centre, "
                "so it is unknown how long an older one may be used: run "
                "'endivelugctl status' when agents can be reached"
            )
        if report.silent_agents:
            entry["old_revision_until"] = _format_utc(old_revision_until)
            text += (
                f"; silent: {', '.join(report.silent_agents)}; an agent that "
                "still runs may use an older revision until "
                f"{_format_utc(old_revision_until) or 'an unknown time'}"
            )
        entries.append(entry)
        output.write_line(text)
    output.write_line(
        f"in force in {len(entries) - len(survey_result.not_in_force())} of "
        f"{len(entries)} data centre(s)",
        data_centres=entries,
        in_force_everywhere=bool(entries) and not survey_result.not_in_force(),
    )
    return bool(entries) and not survey_result.not_in_force()


def _describe(report: DataCentreReport, revision: int) -> str:
    name = report.data_centre
    if not report.reached:
        return f"{name}: cannot be reached"
    if report.in_force():
        return f"{name}: revision {revision} in force on {report.agents} agent(s)"
    return (
        f"{name}: {report.agents_behind} of {report.agents} agent(s) behind, "
        f"lowest revision {report.lowest_revision}"
    )


def _json_entry(report: DataCentreReport) -> dict[str, object]:
    return {
        "data_centre": report.data_centre,
        "reached": report.reached,
        "in_force": report.in_force(),
        "lowest_revision": report.lowest_revision,
        "agents": report.agents,
        "behind": report.agents_behind,
        "silent": report.silent_agents,
    }


def _format_utc(at: float | None) -> str | None:
    if at is None:
        return None
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
