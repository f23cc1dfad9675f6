"""Commands of ``endivelugctl``; each returns whether its result is complete."""

import asyncio
import contextlib
import random
import time
from datetime import UTC, datetime
from pathlib import Path

from endivelug._tls import client_context, link_contexts
from endivelug.config_store import ConfigStore
from endivelug.ctl_output import Output
from endivelug.ctl_reach import (
    CONTACT_MARGIN_S,
    AgentSurvey,
    DataCentreReport,
    Reach,
    delta_of,
)
from endivelug.exceptions import ListError, TableUnavailable
from endivelug.links import Identity
from endivelug.lists import describe_change, diff_lists, load_lists
from endivelug.messages import ConfigDelta
from endivelug.settings import Settings, load_settings
from endivelug.vm_list import VmListUnavailable, fetch_vm_list

POLL_S = 0.5
# Without it an editor whose lists miss the edits of others would take them back.
BASE_FILE = "lists.revision"


def _store(settings: Settings) -> contextlib.closing[ConfigStore]:
    # The token of an edit must be unique over all editors.
    store = ConfigStore.open(settings.platform, rng=random.SystemRandom())
    return contextlib.closing(store)


async def _survey(output: Output, settings: Settings) -> AgentSurvey:
    """Return the agents to ask: those of the VM list, else those of the settings."""
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
        output.progress(f"{error}; asking the agent of the settings")
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


async def check(output: Output, plans: str, organisations: str) -> bool:
    """Check both lists."""
    lists = load_lists(plans, organisations)
    output.line(
        f"valid: {len(lists.plans)} plan(s), {len(lists.organisations)} "
        "organisation(s)",
        valid=True,
        plans=len(lists.plans),
        organisations=len(lists.organisations),
    )
    return True


async def diff(output: Output, settings: str, plans: str, organisations: str) -> bool:
    """Show what applying the lists would change."""
    lists = load_lists(plans, organisations)
    with _store(load_settings(settings)) as store:
        configuration, head = await store.load()
    lines = [describe_change(item) for item in diff_lists(configuration.lists(), lists)]
    output.line(
        f"revision {head.revision}; {len(lines)} change(s)",
        revision=head.revision,
        changes=lines,
    )
    for line in lines:
        output.line(line)
    return True


async def apply(
    output: Output,
    settings: str,
    plans: str,
    organisations: str,
    *,
    base: int | None,
    wait_s: float,
) -> bool:
    """Make the lists durable, then report where they are in force."""
    lists = load_lists(plans, organisations)
    loaded = load_settings(settings)
    base_file = Path(plans).with_name(BASE_FILE)
    if base is None:
        base = _read_base(base_file)
    with _store(loaded) as store:
        done = await store.commit(base=base, lists=lists)
        made = "made durable" if done.changes else "was durable already"
        output.line(
            f"revision {done.revision} {made}; {len(done.changes)} change(s)",
            revision=done.revision,
            durable=True,
            changes=[describe_change(change) for change in done.changes],
        )
        try:
            base_file.write_text(f"{done.revision}\n", encoding="utf-8")
        except OSError as error:
            output.progress(
                f"{base_file}: {error.strerror}; pass --base {done.revision} next time"
            )
    survey = await _survey(output, loaded)
    reach, in_force_at = await _wait(
        output, survey, done.revision, delta=delta_of(done), wait_s=wait_s
    )
    return _report(
        output,
        reach,
        revision=done.revision,
        stale_limit_s=loaded.agent.stale_limit_s,
        in_force_at=in_force_at,
    )


async def status(output: Output, settings: str) -> bool:
    """Show the revision in the table and in each data centre."""
    loaded = load_settings(settings)
    revision: int | None = None
    with _store(loaded) as store:
        try:
            revision = (await store.read_head()).revision
            output.line(f"table: revision {revision}", revision=revision)
        except TableUnavailable as error:
            output.line(f"table: {error}", revision=None)
    reach = await (await _survey(output, loaded)).ask(revision or 0)
    members = []
    for report in reach.data_centres:
        output.line(_describe(report, revision or report.lowest))
        members.append(_members(report))
    for vm in reach.vms:
        output.line(
            f"  {vm.data_centre} {vm.vm}: revision {vm.revision}, {vm.state}, "
            f"heard {vm.age_s:.0f} s ago"
        )
    output.line(
        f"{len(reach.vms)} VM(s)",
        data_centres=members,
        vms=[
            {
                "vm": vm.vm,
                "data_centre": vm.data_centre,
                "revision": vm.revision,
                "state": vm.state,
                "age_s": round(vm.age_s, 1),
            }
            for vm in reach.vms
        ],
    )
    return revision is not None and not reach.missing()


def _read_base(path: Path) -> int:
    try:
        return int(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return 0
    except (OSError, ValueError) as error:
        raise ListError(
            problems=[f"{path}: {error}; write the revision edited, or pass --base"]
        ) from error


async def _wait(
    output: Output,
    survey: AgentSurvey,
    revision: int,
    *,
    delta: ConfigDelta | None,
    wait_s: float,
) -> tuple[Reach, float | None]:
    """Ask until all data centres have the revision in force, or time is over.

    Returns
    -------
    reach : Reach
        Last answers.
    in_force_at : float or None
        Unix time at which some data centre was first seen to have the revision
        in force.
    """
    give_up_at = time.monotonic() + wait_s
    in_force_at: float | None = None
    shown = ""
    while True:
        reach = await survey.ask(revision, delta)
        if in_force_at is None and any(
            report.in_force() for report in reach.data_centres
        ):
            in_force_at = time.time()
        missing = reach.missing()
        if not missing or time.monotonic() > give_up_at:
            return reach, in_force_at
        text = "waiting for " + ", ".join(item.data_centre for item in missing)
        if text != shown:
            output.progress(text)
            shown = text
        await asyncio.sleep(POLL_S)


def _report(
    output: Output,
    reach: Reach,
    *,
    revision: int,
    stale_limit_s: float,
    in_force_at: float | None,
) -> bool:
    """Print where the revision is in force, and until when an old one may be used."""
    until = None
    if in_force_at is not None:
        # A data centre stops when it has had no contact with this one, or with the
        # table, for the stale limit; any contact would have given it the revision.
        until = in_force_at + stale_limit_s + CONTACT_MARGIN_S
    members = []
    for report in reach.data_centres:
        entry = _members(report)
        text = _describe(report, revision)
        if not report.in_force():
            entry["old_revision_until"] = _utc(until)
            text += (
                f"; an older revision, and a plan that this one revokes, may be used "
                f"there until {_utc(until)}"
                if until is not None
                else "; no data centre is known to have the revision, so no time can "
                "be stated after which an older one is not used: run "
                "'endivelugctl status' when agents can be reached"
            )
        if report.silent:
            entry["old_revision_until"] = _utc(until)
            text += (
                f"; not heard: {', '.join(report.silent)}; one that still runs may "
                f"use an older revision until {_utc(until) or 'an unknown time'}"
            )
        members.append(entry)
        output.line(text)
    output.line(
        f"in force in {len(members) - len(reach.missing())} of {len(members)} "
        "data centre(s)",
        data_centres=members,
        in_force_everywhere=bool(members) and not reach.missing(),
    )
    return bool(members) and not reach.missing()


def _describe(report: DataCentreReport, revision: int) -> str:
    name = report.data_centre
    if not report.reached:
        return f"{name}: cannot be reached"
    if report.in_force():
        return f"{name}: revision {revision} in force on {report.agents} agent(s)"
    return (
        f"{name}: {report.behind} of {report.agents} agent(s) behind, lowest revision "
        f"{report.lowest}"
    )


def _members(report: DataCentreReport) -> dict[str, object]:
    return {
        "data_centre": report.data_centre,
        "reached": report.reached,
        "in_force": report.in_force(),
        "lowest_revision": report.lowest,
        "agents": report.agents,
        "behind": report.behind,
        "silent": report.silent,
    }


def _utc(at: float | None) -> str | None:
    if at is None:
        return None
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
