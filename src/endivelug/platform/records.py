"""Decoders for rows of the operator and of upstreams."""

import math
from typing import Any

from endivelug.exceptions import EndivelugError
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.quotas.quota import Quota, QuotaUnit
from endivelug.forwarding.records import (
    ConfigurationRecord,
    InstanceRecord,
    InstanceRemoved,
    OtherRecord,
    Record,
    UnreadableRecord,
    WeightsRecord,
)
from endivelug.forwarding.routes import (
    CacheStore,
    CallerLimits,
    EngineLimits,
    Organisation,
    Repeat,
    Route,
    RoutingConfiguration,
    Service,
    WeightedService,
)
from endivelug.forwarding.row_store import StoredRow
from endivelug.platform.documents import (
    MAX_INTEGER,
    DocumentUnreadable,
    is_address,
    is_integer,
    is_name,
    is_text,
    read_object,
)

OPERATOR_TABLE = "op"
INSTANCE_TABLE = "servers"
CONFIGURATION_KEY = "config"
WEIGHTS_PREFIX = "version/"
STATES = ("ready", "draining")
# Capacity of a cache store whose configuration does not state it, in tokens.
DEFAULT_STORE_TOKENS = 1_000_000
QUOTA_UNITS = {"requests": QuotaUnit.REQUESTS, "token_stream": QuotaUnit.TOKENS}


class QuotaUnusable(EndivelugError):
    """A quota cannot be applied; correct it, until then there is no limit."""


class RecordUnreadable(EndivelugError):
    """A row cannot be decoded; the last valid one stays in force."""


def decode_configuration(value: bytes) -> RoutingConfiguration:
    """Decode the operator's configuration.

    Raises
    ------
    RecordUnreadable
        If the value is not a valid configuration.
    """
    document = _json_object(value)
    try:
        configuration = RoutingConfiguration(
            version=int(document["version"]),
            limits=_limits(document.get("limits", {})),
            services={},
        )
        for item in document["services"]:
            _add_service(configuration, item)
        for item in document["routes"]:
            configuration.add_route(_route(item))
        _add_organisations(configuration, document.get("tenants"))
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as error:
        raise RecordUnreadable(f"the configuration is malformed: {error!r}") from error
    return configuration


def decode_weights(value: bytes) -> tuple[str, int]:
    """Decode a model and the desired version of its weights."""
    document = _json_object(value)
    model, version = document.get("model"), document.get("version")
    if not is_text(model) or not is_integer(version):
        raise RecordUnreadable(
            "the desired weights lack a model name or an integer version"
        )
    return model, version


def decode_instance(name: str, value: bytes) -> InstanceRecord:
    """Decode an upstream's registration.

    Raises
    ------
    RecordUnreadable
        If a field is missing or has the wrong type.
    """
    document = _json_object(value)
    service, address = document.get("service"), document.get("address")
    # "zone" is the data centre, "slots" the number of requests that run concurrently.
    data_centre, slots = document.get("zone"), document.get("slots")
    state, born = document.get("state"), document.get("born", 0)
    if not is_name(name):
        raise RecordUnreadable("the key must be visible ASCII characters")
    if not all(is_text(text) for text in (service, data_centre, state)):
        raise RecordUnreadable("service, zone and state must be strings")
    if not is_integer(slots, minimum=1) or not is_integer(born):
        raise RecordUnreadable(
            "slots must be an integer above 0 and born one from 0, up to 2^53"
        )
    if state not in STATES or not is_address(address):
        raise RecordUnreadable("the state is unknown or the address is not IP:port")
    sequence = document.get("seq")
    instance = Instance(
        name=name,
        service=str(service),
        address=str(address),
        data_centre=str(data_centre),
        slots=slots,
        draining=state == "draining",
        started_ms=born,
        model_versions=_model_versions(document.get("models", [])),
    )
    return InstanceRecord(
        instance=instance, sequence=sequence if is_integer(sequence) else 0
    )


def _model_versions(models: Any) -> tuple[tuple[str, int], ...]:
    if not isinstance(models, list):
        raise RecordUnreadable("models must be a list")
    versions = []
    for item in models:
        if not isinstance(item, dict):
            raise RecordUnreadable("each entry of models must be an object")
        name, version = item.get("name"), item.get("version")
        if not is_text(name) or not is_integer(version):
            raise RecordUnreadable(
                "each entry of models needs a name and an integer version"
            )
        versions.append((name, version))
    return tuple(versions)


def _json_object(value: bytes) -> dict[str, Any]:
    try:
        return read_object(value)
    except DocumentUnreadable as error:
        raise RecordUnreadable(f"the row cannot be decoded: {error}") from error


def _limits(document: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(document.get("maxHeaderBytes", 65536)),
        body_bytes=int(document.get("maxBodyBytes", 4194304)),
        header_timeout_s=float(document.get("headerTimeoutMs", 3000)) / 1000,
        idle_timeout_s=float(document.get("idleTimeoutMs", 15000)) / 1000,
    )


def _add_service(configuration: RoutingConfiguration, item: dict[str, Any]) -> None:
    name = str(item["name"])
    if item.get("kvStoreAddr"):
        configuration.cache_stores.append(
            CacheStore(
                service=name,
                address=str(item["kvStoreAddr"]),
                data_centre=str(item.get("zone", "")),
                link_mbps=float(item.get("linkMbps", 10000.0)),
                cache_tokens=int(item.get("kvCapacityTokens", DEFAULT_STORE_TOKENS)),
            )
        )
        return
    engine = item.get("engine")
    configuration.services[name] = Service(
        name=name,
        max_connections=int(item.get("maxConnections", 64)),
        engine=_engine_limits(engine) if engine else None,
    )


def _engine_limits(item: dict[str, Any]) -> EngineLimits:
    return EngineLimits(
        slots=int(item["slots"]),
        cache_tokens=int(item["kvCapacityTokens"]),
        token_bytes=float(item.get("kvTokenBytes", 0)),
        link_mbps=float(item.get("linkMbps", 10000.0)),
        models=tuple(str(model["name"]) for model in item.get("models", [])),
    )


def _route(item: dict[str, Any]) -> Route:
    split = item.get("trafficSplit")
    if split:
        services = tuple(
            WeightedService(service=str(part["service"]), weight=float(part["weight"]))
            for part in split
        )
    else:
        services = (WeightedService(service=str(item["service"]), weight=1.0),)
    kind = str(item["kind"])
    return Route(
        name=str(item["name"]),
        host=str(item["host"]),
        prefix=str(item["prefix"]),
        repeat=Repeat.SAFE if kind == "safe" else Repeat.UNSAFE,
        streaming=kind == "streaming",
        resumable=bool(item.get("resumable", False)),
        timeout_s=float(item["timeoutMs"]) / 1000,
        target_s=float(item.get("targetLatencyMs") or item["timeoutMs"]) / 1000,
        gap_target_s=float(item.get("gapAimMs") or 0) / 1000,
        max_attempts=int(item.get("maxAttempts", 1)),
        priority=int(item.get("priority", 5)),
        public=bool(item.get("public", False)),
        # "sticky" routes are those whose requests name a model and a prompt.
        generates=bool(item.get("sticky", False)),
        services=services,
    )


def _add_organisations(configuration: RoutingConfiguration, tenants: Any) -> None:
    # A list without entries means that no key is known, not that none is needed.
    if tenants is None:
        return
    if not isinstance(tenants, list):
        raise RecordUnreadable("tenants must be a list")
    configuration.has_organisations = True
    for item in tenants:
        priority = item.get("priority")
        organisation = Organisation(
            name=str(item["name"]),
            priority=priority if type(priority) is int else None,
            isolated=bool(item.get("isolated", False)),
            quota=_add_quota(configuration, item),
        )
        for key in item.get("apiKeys", []):
            configuration.organisations_by_key[str(key)] = organisation


def _add_quota(configuration: RoutingConfiguration, item: Any) -> Quota | None:
    name = str(item["name"])
    try:
        quota = _quota(item)
    except QuotaUnusable as error:
        configuration.unusable_quotas[name] = str(error)
        return None
    if quota is not None:
        configuration.quotas[name] = quota
    return quota


def _quota(item: dict[str, Any]) -> Quota | None:
    """Return the quota in an organisation's entry; None if it has no limit.

    Raises
    ------
    QuotaUnusable
        If a value cannot be used, or the unit is of a later version.
    """
    rate, burst = item.get("ratePerS"), item.get("burst")
    if rate is None or rate == 0:
        return None
    unit = item.get("unit", "requests")
    if not isinstance(unit, str) or unit not in QUOTA_UNITS:
        raise QuotaUnusable(f"the unit {str(unit)[:40]!r} is not known; name another")
    default_tokens = item.get("plainTokens", 0)
    if not is_integer(default_tokens):
        raise QuotaUnusable("the tokens of a request must be an integer from 0")
    burst = 0 if burst is None else burst
    if not _is_number(rate) or not _is_number(burst):
        raise QuotaUnusable("rate and burst must be numbers, 0 or above")
    return Quota(
        rate=float(rate),
        burst=float(burst),
        unit=QUOTA_UNITS[unit],
        default_tokens=default_tokens,
    )


def _is_number(value: Any) -> bool:
    if type(value) not in (int, float):
        return False
    return math.isfinite(value) and 0 <= value <= MAX_INTEGER


class PlatformRecords:
    """Decodes the platform's rows; implements ``RecordFormat``."""

    tables = (OPERATOR_TABLE, INSTANCE_TABLE)
    instance_table = INSTANCE_TABLE
    operator_table = OPERATOR_TABLE

    def decode(self, row: StoredRow) -> Record:
        """Decode a row."""
        try:
            return _decode(row)
        except RecordUnreadable as error:
            return UnreadableRecord(reason=str(error))


def _decode(row: StoredRow) -> Record:
    if row.table == INSTANCE_TABLE:
        if row.removed:
            return InstanceRemoved(name=row.key)
        return decode_instance(row.key, row.value)
    if row.removed:
        return OtherRecord()
    if row.key == CONFIGURATION_KEY:
        return ConfigurationRecord(configuration=decode_configuration(row.value))
    if row.key.startswith(WEIGHTS_PREFIX):
        model, version = decode_weights(row.value)
        return WeightsRecord(model=model, version=version)
    return OtherRecord()
