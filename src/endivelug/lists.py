"""The two lists that operators edit: plans, and the organisations that use them."""

import hashlib
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Literal, cast

from endivelug._ini import Section, read_sections
from endivelug._section_reader import SectionReader, split_items
from endivelug.exceptions import ListError

WorkClass = Literal["interactive", "batch"]

WORK_CLASSES = ("interactive", "batch")
CHAT_ROUTE = "chat"
MAX_KEYS = 16
_DIGEST = re.compile(r"[0-9a-f]{64}")


@dataclass(slots=True, kw_only=True)
class Plan:
    """The models, routes and rates that the organisations of a plan may use.

    Attributes
    ----------
    models, adapters : tuple of str
        Names of models and adapters that may be requested.
    versions : dict of str to str
        Desired weights version of each model.
    routes : tuple of str
        ``chat`` and names of services.
    requests_s, tokens_s : float
        Limits per second for one organisation, over all data centres.
    streams : int
        Limit of concurrent streams for one organisation, over all data centres.
    work_class : dict of str to str
        ``interactive`` or ``batch`` for each route.
    weight : float
        Share in fair queueing, relative to other plans.
    """

    name: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    versions: dict[str, str]
    routes: tuple[str, ...]
    requests_s: float
    tokens_s: float
    streams: int
    work_class: dict[str, WorkClass]
    weight: float

    def allows(self, *, route: str, model: str = "", adapter: str = "") -> bool:
        """Return whether a request may use a route, a model and an adapter.

        Parameters
        ----------
        route : str
            ``chat`` or the name of a service.
        model, adapter : str
            Empty if the request names none.
        """
        return (
            route in self.routes
            and (not model or model in self.models)
            and (not adapter or adapter in self.adapters)
        )


@dataclass(slots=True, kw_only=True)
class Organisation:
    """An organisation, with its plan and its caller keys.

    Attributes
    ----------
    plan : str
        Name of its plan.
    keys : tuple of bytes
        SHA-256 digests of its caller keys, 32 bytes each, in ascending order.
    """

    name: str
    plan: str
    keys: tuple[bytes, ...]


@dataclass(slots=True, kw_only=True)
class Lists:
    """Plans and organisations by name, both checked."""

    plans: dict[str, Plan]
    organisations: dict[str, Organisation]


@dataclass(slots=True, kw_only=True)
class PlanSet:
    """Change that adds or replaces a plan."""

    plan: Plan


@dataclass(slots=True, kw_only=True)
class PlanRemoved:
    """Change that removes a plan."""

    name: str


@dataclass(slots=True, kw_only=True)
class OrganisationSet:
    """Change that adds or replaces an organisation."""

    organisation: Organisation


@dataclass(slots=True, kw_only=True)
class OrganisationRemoved:
    """Change that removes an organisation."""

    name: str


Change = PlanSet | PlanRemoved | OrganisationSet | OrganisationRemoved


def key_digest(caller_key: str) -> bytes:
    """Return the SHA-256 digest of a caller key, 32 bytes."""
    return hashlib.sha256(caller_key.encode()).digest()


def describe_change(change: Change) -> str:
    """Describe a change in one line, without any key digest.

    Examples
    --------
    >>> describe_change(OrganisationRemoved(name="clinic"))
    'organisation clinic: removed'
    """
    match change:
        case PlanSet(plan=plan):
            return (
                f"plan {plan.name}: models {', '.join(plan.models) or 'none'}; "
                f"routes {', '.join(plan.routes)}; {plan.requests_s:g} requests/s; "
                f"{plan.tokens_s:g} tokens/s; {plan.streams} streams"
            )
        case PlanRemoved(name=name):
            return f"plan {name}: removed"
        case OrganisationSet(organisation=organisation):
            return (
                f"organisation {organisation.name}: plan {organisation.plan}, "
                f"{len(organisation.keys)} key(s)"
            )
        case OrganisationRemoved(name=name):
            return f"organisation {name}: removed"


def diff_lists(old: Lists, new: Lists) -> list[Change]:
    """Return the changes that turn the old lists into the new ones."""
    changes: list[Change] = []
    for name in sorted(new.plans):
        if old.plans.get(name) != new.plans[name]:
            changes.append(PlanSet(plan=new.plans[name]))
    for name in sorted(new.organisations):
        if old.organisations.get(name) != new.organisations[name]:
            changes.append(OrganisationSet(organisation=new.organisations[name]))
    for name in sorted(old.organisations.keys() - new.organisations.keys()):
        changes.append(OrganisationRemoved(name=name))
    for name in sorted(old.plans.keys() - new.plans.keys()):
        changes.append(PlanRemoved(name=name))
    return changes


def _parse_plan(section: Section, problems: list[str]) -> Plan:
    reader = SectionReader(section, problems)
    reader.check_section(
        "models",
        "adapters",
        "versions",
        "routes",
        "requests_s",
        "tokens_s",
        "streams",
        "work_class",
        "weight",
    )
    routes = reader.names("routes", "write 'chat' and names of services", required=True)
    models = reader.names(
        "models", "write the models that chat may use", required=CHAT_ROUTE in routes
    )
    classes = reader.pairs(
        "work_class",
        routes,
        "write route=interactive or route=batch for each route",
        required=True,
    )
    for route, work_class in classes.items():
        if work_class and work_class not in WORK_CLASSES:
            remedy = "write 'interactive' or 'batch'"
            reader.report("work_class", repr(f"{route}={work_class}"), remedy)
    return Plan(
        name=section.name,
        models=models,
        adapters=reader.names("adapters", "", required=False),
        versions=reader.pairs(
            "versions",
            models,
            "write model=version for each model",
            required=bool(models),
        ),
        routes=routes,
        requests_s=reader.positive_number(
            "requests_s", float, "write a number above 0"
        ),
        tokens_s=reader.positive_number("tokens_s", float, "write a number above 0"),
        streams=reader.positive_number("streams", int, "write a whole number above 0"),
        work_class=cast(dict[str, WorkClass], classes),
        weight=reader.positive_number("weight", float, "write a number above 0"),
    )


def _parse_organisation(
    section: Section, plans: dict[str, Plan], problems: list[str]
) -> Organisation:
    reader = SectionReader(section, problems)
    reader.check_section("plan", "keys")
    plan = reader.text("plan", "write the name of a plan")
    if plan and plan not in plans:
        known = ", ".join(sorted(plans)[:20]) or "none"
        reader.report("plan", repr(plan), f"write a plan of the plans list: {known}")
    remedy = "write SHA-256 digests of the caller keys, 64 hexadecimal digits each"
    digests = split_items(reader.text("keys", remedy))
    keys = set()
    for number, digest in enumerate(digests, 1):
        # The value is not shown, because it may be a caller key entered by mistake.
        if not _DIGEST.fullmatch(digest):
            reader.report("keys", f"value {number} of {len(digest)} characters", remedy)
        elif bytes.fromhex(digest) in keys:
            reader.report("keys", f"value {number} is repeated", "write each key once")
        else:
            keys.add(bytes.fromhex(digest))
    if "keys" in section.values and not digests:
        reader.report("keys", "empty", f"{remedy}; or remove the organisation")
    if len(digests) > MAX_KEYS:
        reader.report("keys", f"{len(digests)} keys", f"write at most {MAX_KEYS}")
    return Organisation(name=section.name, plan=plan, keys=tuple(sorted(keys)))


def _version_conflicts(plans: dict[str, Plan], path: str) -> Iterator[str]:
    # Engines load one version of a model, so all plans must name the same version.
    first_versions: dict[str, tuple[str, str]] = {}
    for plan in plans.values():
        for model, version in plan.versions.items():
            other_plan, other_version = first_versions.setdefault(
                model, (plan.name, version)
            )
            if version and other_version and version != other_version:
                yield (
                    f"{path}: [{plan.name}] versions: {model}={version!r}; write the "
                    f"same version in every plan ([{other_plan}] has {other_version!r})"
                )


def parse_lists(
    plans_text: str,
    organisations_text: str,
    *,
    plans_path: str = "plans.ini",
    organisations_path: str = "organisations.ini",
) -> Lists:
    """Parse and check both lists.

    Parameters
    ----------
    plans_text, organisations_text : str
        Contents of the two INI files.
    plans_path, organisations_path : str
        Names of the files in error messages.

    Returns
    -------
    Lists
        Checked lists.

    Raises
    ------
    ListError
        Lists every problem of both files, each with its place, value and remedy.
    """
    problems: list[str] = []
    plans: dict[str, Plan] = {}
    for section in read_sections(plans_text, plans_path, problems):
        plans[section.name] = _parse_plan(section, problems)
    problems.extend(_version_conflicts(plans, plans_path))
    organisations: dict[str, Organisation] = {}
    holders: dict[bytes, str] = {}
    for section in read_sections(organisations_text, organisations_path, problems):
        organisation = _parse_organisation(section, plans, problems)
        organisations[section.name] = organisation
        for digest in organisation.keys:
            holder = holders.setdefault(digest, section.name)
            if holder != section.name:
                SectionReader(section, problems).report(
                    "keys",
                    f"a key of [{holder}]",
                    "give each organisation keys of its own",
                )
    # Without this check, a truncated file would revoke every plan.
    for found, path in ((plans, plans_path), (organisations, organisations_path)):
        if not found and not problems:
            problems.append(f"{path}:1: empty; write at least one [section]")
    if problems:
        raise ListError(problems=problems)
    return Lists(plans=plans, organisations=organisations)


def load_lists(plans_path: str, organisations_path: str) -> Lists:
    """Read, parse and check both lists.

    Raises
    ------
    ListError
        If a file cannot be read or any value is invalid.
    """
    texts = []
    problems = []
    for path in (plans_path, organisations_path):
        try:
            with open(path, encoding="utf-8") as file:
                texts.append(file.read())
        except (OSError, UnicodeDecodeError) as error:
            problems.append(f"{path}: {error}; pass a readable UTF-8 text file")
    if problems:
        raise ListError(problems=problems)
    return parse_lists(
        *texts, plans_path=plans_path, organisations_path=organisations_path
    )
