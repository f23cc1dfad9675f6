"""Authentication and authorisation of callers by bearer key and plan."""

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
    """Authenticate a caller by the ``Authorization`` header.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    authorization : str
        Value of the header; empty if it is missing.

    Returns
    -------
    Caller or NotRun
        Caller, or a refusal that is the same for a missing and an unknown key.
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
    """Return a refusal if the plan does not allow the request, else None."""
    if plan.allows(route=route, model=model, adapter=adapter):
        return None
    requested = " ".join(name for name in (route, model, adapter) if name)
    return NotRun(
        kind="plan-forbids",
        status=403,
        remedy=f"your plan does not include {requested}; see /v1/models",
    )
