from types import SimpleNamespace

from builders import make_upstream
from endivelug import agent_logs


# Guards against changes that are logged again at each comparison, or not at all.
def test_one_line_for_each_change(monkeypatch):
    lines = []
    monkeypatch.setattr(
        agent_logs, "log_change", lambda event, **fields: lines.append((event, fields))
    )
    upstreams, live, lease_held = [make_upstream("e1")], ["vm1"], [False]
    configuration = SimpleNamespace(revision=1)
    logs = agent_logs.AgentLogs(
        context=SimpleNamespace(
            membership=SimpleNamespace(live_agents=lambda: live),
            upstreams=SimpleNamespace(entries=lambda: upstreams),
        ),
        configuration=configuration,
        orders=SimpleNamespace(
            holds_lease=lambda: lease_held[0], lease=SimpleNamespace(fencing=4)
        ),
    )

    def events():
        lines.clear()
        logs.log_changes()
        logs.log_changes()
        return [event for event, _ in lines]

    assert events() == ["configuration-held", "agents-changed", "upstream-state"]
    upstreams[0] = make_upstream("e1", state="dead")
    lease_held[0] = True
    assert events() == ["upstream-state", "order-lease"]
    upstreams.clear()
    assert events() == ["upstream-state"]
    assert lines[0][1] == {"upstream": "e1", "state": None, "before": "dead"}
