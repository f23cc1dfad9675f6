"""The course of each request that is named in a violation."""

import re
from pathlib import Path

from .world import Environment

_REQUEST_ID = re.compile(r"\b[0-9a-f]{16}\b")


def courses_of(
    violations: list[str], environment: Environment, folder: Path
) -> dict[str, list[str]]:
    """Return what routers logged and upstreams saw of each request in a violation."""
    lines = [line for path in sorted(folder.glob("*.log")) for line in _lines_of(path)]
    requests = {name for text in violations for name in _REQUEST_ID.findall(text)}
    start = environment.started_at
    return {
        request: [
            *(line for line in lines if request in line),
            *(
                f"{at - start:.3f} arrival at {service}"
                for at, service, name in environment.record.arrivals
                if name == request
            ),
            *(
                f"{run.at - start:.3f} run at {run.instance}, "
                f"ended {run.ended_at - start:.3f}, continued {run.continued}"
                for run in environment.record.runs.get(request, [])
            ),
            *(
                f"{item.sent_at - start:.3f} sent, ended {item.ended_at - start:.3f}, "
                f"{item.status} at {item.router}"
                for item in environment.callers.outcomes
                if item.request == request
            ),
        ]
        for request in sorted(requests)
    }


def _lines_of(path: Path) -> list[str]:
    return path.read_text(errors="replace").splitlines()
