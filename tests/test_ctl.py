import asyncio
import json
import time
from datetime import datetime

import pytest

from builders import ORGANISATIONS, PLANS, SETTINGS, serving_platform
from endivelug import ctl, ctl_commands
from endivelug.ctl_output import Output
from endivelug.ctl_survey import merge_statuses
from endivelug.exceptions import RevisionConflict
from endivelug.messages import Status, VmStatus
from test_config_sync import in_force, make_agents, wait_until


@pytest.fixture
def lists(tmp_path):
    (tmp_path / "plans.ini").write_text(PLANS)
    (tmp_path / "organisations.ini").write_text(ORGANISATIONS)
    return str(tmp_path / "plans.ini"), str(tmp_path / "organisations.ini")


def run_main(arguments, capsys):
    with pytest.raises(SystemExit) as raised:
        ctl.main(arguments)
    return raised.value.code, capsys.readouterr()


def test_check_accepts_and_refuses(lists, tmp_path, capsys):
    arguments = ["check", "--plans", lists[0], "--organisations", lists[1], "--json"]
    code, printed = run_main(arguments, capsys)
    assert (code, json.loads(printed.out)["organisations"]) == (0, 1)
    (tmp_path / "plans.ini").write_text(PLANS.replace("streams = 8", "streams = 0"))
    code, printed = run_main(arguments, capsys)
    document = json.loads(printed.out)
    assert (code, document["exit_code"]) == (3, 3)
    assert "[counter] streams: '0'; write a whole number" in document["problems"][0]


def test_version_help_and_bad_settings(lists, tmp_path, capsys):
    assert run_main(["--version"], capsys)[0] == 0
    code, printed = run_main(["--help"], capsys)
    assert code == 0
    assert "4  another edit came first" in printed.out
    code, printed = run_main(["status", "--settings", "/nowhere.ini"], capsys)
    assert code == 2
    assert "pass the path of a readable file" in printed.err
    settings = tmp_path / "settings.ini"
    settings.write_text(SETTINGS)
    arguments = ["diff", "--settings", str(settings), "--plans", lists[0]]
    arguments += ["--organisations", lists[1]]
    code, printed = run_main(arguments, capsys)
    assert code == 1
    assert "retry later" in printed.err


# Guards against assuming that an unreachable data centre has an edit (design, 11), and
# against a revocation without a time from which it is certainly in force.
def test_apply_reports_the_unreachable_data_centres(lists, tmp_path):
    async def run():
        async with serving_platform() as (state, url, _):
            agents = make_agents(url, dc1=2, dc2=1)
            settings = tmp_path / "settings.ini"
            text = SETTINGS.replace("http://127.0.0.1:1", url)
            settings.write_text(
                text.replace("[router]", "data_centres = dc1, dc2, dc3\n[router]", 1)
            )
            for agent in agents:
                await agent.start()
            entries = [
                vm_entry(agent.context.membership.own_record) for agent in agents
            ]
            state.set_vm_list(entries, time.monotonic())
            await wait_until(lambda: all(agent.mesh.remote_links() for agent in agents))
            before = time.time()
            output = Output(as_json=True)
            complete = await ctl_commands.apply(
                output, str(settings), *lists, base=None, wait_s=3.0
            )
            assert not complete
            assert in_force(agents, 1)
            report = {
                item["data_centre"]: item for item in output.members["data_centres"]
            }
            assert report["dc1"]["in_force"] and report["dc2"]["in_force"]
            assert not report["dc3"]["reached"]
            until_text = report["dc3"]["old_revision_until"]
            limit = datetime.fromisoformat(until_text)
            assert limit.timestamp() >= before + 7200
            # Agents that cannot reach the table receive the edit from the command.
            for agent in agents:
                agent.config.store.table.url = "http://127.0.0.1:1"
            (tmp_path / "organisations.ini").write_text(
                ORGANISATIONS.replace("[clinic]", "[ward]")
            )
            await ctl_commands.apply(
                output, str(settings), *lists, base=None, wait_s=3.0
            )
            assert in_force(agents, 2)
            assert (tmp_path / "lists.revision").read_text() == "2\n"
            with pytest.raises(RevisionConflict):
                (tmp_path / "organisations.ini").write_text(ORGANISATIONS)
                await ctl_commands.apply(
                    output, str(settings), *lists, base=1, wait_s=0.0
                )
            output = Output(as_json=True)
            assert not await ctl_commands.status(output, str(settings))
            assert len(output.members["vms"]) == 3
            await asyncio.gather(*(agent.abort() for agent in agents))

    asyncio.run(run())


def vm_entry(own):
    labels = {"vm": own.vm, "data_centre": own.data_centre}
    labels |= {"kind": "agent", "state": "live"}
    return {"targets": [own.address], "labels": labels}


def test_status_replies_are_merged():
    def vm(name, revision, state="live", age_s=0.0):
        return VmStatus(
            vm=name, data_centre="dc1", revision=revision, state=state, age_s=age_s
        )

    def status(*vms):
        return Status(
            vm="a",
            data_centre="dc1",
            revision=0,
            digest=0,
            platform_age_s=0.0,
            vms=list(vms),
        )

    survey_result = merge_statuses(
        [
            status(vm("a", 3), vm("b", 1, "dead", 9.0), vm("c", 0, "dead", 99.0)),
            status(vm("a", 2, "dead", 7.0), vm("b", 3, age_s=0.1)),
            None,
        ],
        names=["dc1", "dc2"],
        revision=3,
    )
    first, second = survey_result.data_centres
    assert (first.agents, first.agents_behind, first.silent_agents) == (2, 0, ["c"])
    assert first.in_force() and not second.reached
    assert survey_result.not_in_force() == [second]
