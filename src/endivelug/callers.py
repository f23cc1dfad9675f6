"""Who calls: bearer key to organisation and plan."""

from dataclasses import dataclass

from endivelug.configuration import Configuration
from endivelug.lists import Plan
from endivelug.refusals import NotRun


@dataclass(slots=True, kw_only=True)
class Caller:
    """An authenticated organisation with its plan."""

    organisation: str
    plan: Plan


def authenticate(configuration: Configuration, authorization: str) -> Caller | NotRun:
    """Return the caller that an ``Authorization`` header belongs to.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    authorization : str
        Value of the header; empty where it is missing.

    Returns
    -------
    Caller or NotRun
        The refusal is the same for a missing and an unknown key.
    """
    scheme, _, key = authorization.partition(" ")
    organisation = None
    if scheme.lower() == "bearer" and key:
        organisation = configuration.organisation_by_key(key.strip())
    if organisation is None:
        return NotRun(
            kind="unauthenticated",
            status=401,
            remedy="send Authorization: Bearer with a key of your organisation",
        )
    plan = configuration.plans.get(organisation.plan)
    if plan is None:
        return NotRun(
            kind="plan-missing",
            status=403,
            remedy="ask the operator to give your organisation a plan",
        )
    return Caller(organisation=organisation.name, plan=plan)


def authorise(
    plan: Plan, *, route: str, model: str = "", adapter: str = ""
) -> NotRun | None:
    """Return a refusal where a plan does not allow a request."""
    if plan.allows(route=route, model=model, adapter=adapter):
        return None
    wanted = " ".join(part for part in (route, model, adapter) if part)
    return NotRun(
        kind="plan-forbids",
        status=403,
        remedy=f"your plan does not include {wanted}; see /v1/models",
    )
