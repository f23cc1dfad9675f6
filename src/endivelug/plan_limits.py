"""Conversion of the configured plans to the limits of organisations."""

from collections.abc import Callable

from endivelug.configuration import Configuration
from endivelug.limits import Limits
from endivelug.lists import Plan


def plan_limits(plan: Plan) -> Limits:
    """Return the limits of a plan."""
    return Limits(
        requests_s=plan.requests_s, tokens_s=plan.tokens_s, streams=plan.streams
    )


def limits_lookup(configuration: Configuration) -> Callable[[str], Limits | None]:
    """Return a function from organisation to limits; None for one without a plan."""

    def look_up(organisation: str) -> Limits | None:
        plan = configuration.plan_of(organisation)
        return None if plan is None else plan_limits(plan)

    return look_up
