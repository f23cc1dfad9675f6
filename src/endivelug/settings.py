"""Settings of one VM, read from an INI file and fully validated before startup."""

import configparser
import dataclasses
import ipaddress
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Literal, get_args, get_type_hints

from endivelug.exceptions import SettingError, SettingsError


def _setting(remedy: str, default: Any = dataclasses.MISSING) -> Any:
    """Declare a setting with the remedy to print if its value is invalid."""
    if default is dataclasses.MISSING:
        return field(metadata={"remedy": remedy})
    return field(default=default, metadata={"remedy": remedy})


ADDRESS_REMEDY = "write an IP address and a port, for example 127.0.0.1:8100"
URL_REMEDY = "write an http:// or https:// URL with an IP address"
POSITIVE_REMEDY = "write a number above 0"
FILE_REMEDY = "write the path of a PEM file, or leave it empty for none"


@dataclass(slots=True, kw_only=True)
class VmSettings:
    """Identity and location of the VM."""

    name: str = _setting("write the name of this VM as in the VM list")
    data_centre: str = _setting("write the data centre of this VM")
    zone: str = _setting("write the zone of the data centre", "")
    data_centres: str = _setting(
        "write every data centre of the deployment, separated by commas", ""
    )

    def all_data_centres(self) -> list[str]:
        """Return every data centre of the deployment, including this one."""
        return sorted({self.data_centre, *split_list(self.data_centres)})


@dataclass(slots=True, kw_only=True)
class RouterSettings:
    """Settings of the router, which forwards requests."""

    listen: str = _setting(ADDRESS_REMEDY)
    admin_listen: str = _setting(ADDRESS_REMEDY)
    objective: Literal["latency", "reuse"] = _setting(
        "write 'latency' or 'reuse'", "latency"
    )
    drain_notice_s: float = _setting(POSITIVE_REMEDY, 2.0)
    drain_limit_s: float = _setting(POSITIVE_REMEDY, 600.0)
    request_body_bytes: int = _setting(POSITIVE_REMEDY, 8 * 1024 * 1024)
    header_bytes: int = _setting(POSITIVE_REMEDY, 32 * 1024)
    lookup_timeout_s: float = _setting(POSITIVE_REMEDY, 0.005)
    interactive_deadline_s: float = _setting(POSITIVE_REMEDY, 10.0)
    batch_deadline_s: float = _setting(POSITIVE_REMEDY, 120.0)
    tls_certificate: str = _setting(FILE_REMEDY, "")
    tls_key: str = _setting(FILE_REMEDY, "")

    def deadlines_s(self) -> dict[str, float]:
        """Return the default deadline for the first token in seconds, by work class."""
        return {
            "interactive": self.interactive_deadline_s,
            "batch": self.batch_deadline_s,
        }


@dataclass(slots=True, kw_only=True)
class AgentSettings:
    """Settings of the agent, which exchanges state and sends orders."""

    listen: str = _setting(ADDRESS_REMEDY)
    metrics_listen: str = _setting(ADDRESS_REMEDY)
    peers: str = _setting("write addresses separated by commas, or nothing", "")
    heartbeat_s: float = _setting(POSITIVE_REMEDY, 2.5)
    dead_after_s: float = _setting(POSITIVE_REMEDY, 5.0)
    probe_s: float = _setting(POSITIVE_REMEDY, 1.0)
    head_poll_s: float = _setting(POSITIVE_REMEDY, 1.0)
    config_readers: int = _setting(POSITIVE_REMEDY, 3)
    stale_limit_s: float = _setting(POSITIVE_REMEDY, 7200.0)
    lease_s: float = _setting(POSITIVE_REMEDY, 10.0)
    lease_renew_s: float = _setting(POSITIVE_REMEDY, 3.0)
    clock_bound_s: float = _setting(POSITIVE_REMEDY, 0.5)
    order_timeout_s: float = _setting(POSITIVE_REMEDY, 4.0)


@dataclass(slots=True, kw_only=True)
class LinkSettings:
    """Settings of the links between routers, agents and ``endivelugctl``."""

    secret: str = _setting("write at least 16 characters, the same on every VM")
    tls_certificate: str = _setting(FILE_REMEDY, "")
    tls_key: str = _setting(FILE_REMEDY, "")
    tls_ca: str = _setting(FILE_REMEDY, "")


@dataclass(slots=True, kw_only=True)
class PlatformSettings:
    """Addresses and access to the services of the platform."""

    table: str = _setting(URL_REMEDY)
    object_store: str = _setting(URL_REMEDY)
    vm_list: str = _setting(URL_REMEDY)
    credential: str = _setting("write the bearer token of the platform", "")
    timeout_s: float = _setting(POSITIVE_REMEDY, 2.0)
    tls_ca: str = _setting(FILE_REMEDY, "")


@dataclass(slots=True, kw_only=True)
class PoolSettings:
    """One pool of upstreams; its section is ``[pool NAME]``."""

    kind: Literal["engine", "service"] = _setting("write 'engine' or 'service'")
    checks_fencing: bool = _setting("write 'yes' or 'no'", False)
    prefill_tokens_s: float = _setting(POSITIVE_REMEDY, 8000.0)
    batch_prefill_tokens: int = _setting(POSITIVE_REMEDY, 16000)
    max_streams: int = _setting(POSITIVE_REMEDY, 64)
    timeout_s: float = _setting(POSITIVE_REMEDY, 30.0)
    kept_cache: str = _setting(URL_REMEDY, "")
    credential: str = _setting("write the bearer token of the pool", "")
    tls_ca: str = _setting(FILE_REMEDY, "")


@dataclass(slots=True, kw_only=True)
class Settings:
    """Every setting of one VM."""

    vm: VmSettings
    router: RouterSettings
    agent: AgentSettings
    links: LinkSettings
    platform: PlatformSettings
    pools: dict[str, PoolSettings]


SECTIONS: dict[str, type] = {
    "vm": VmSettings,
    "router": RouterSettings,
    "agent": AgentSettings,
    "links": LinkSettings,
    "platform": PlatformSettings,
}
POOL_PREFIX = "pool "


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdigit() and int(port) < 65536


def _is_address_list(text: str) -> bool:
    return all(_is_address(part) for part in split_list(text))


def _is_url(text: str) -> bool:
    return text == "" or text.startswith(("http://", "https://"))


_TEXT_CHECKS: dict[str, Callable[[str], bool]] = {
    "listen": _is_address,
    "admin_listen": _is_address,
    "metrics_listen": _is_address,
    "peers": _is_address_list,
    "table": _is_url,
    "object_store": _is_url,
    "vm_list": _is_url,
    "kept_cache": _is_url,
    "secret": lambda text: len(text) >= 16,
    "name": lambda text: bool(text),
    "data_centre": lambda text: bool(text),
}


def split_list(text: str) -> list[str]:
    """Split a comma-separated list.

    Examples
    --------
    >>> split_list("127.0.0.1:1, 127.0.0.2:1")
    ['127.0.0.1:1', '127.0.0.2:1']
    """
    return [part.strip() for part in text.split(",") if part.strip()]


# Formats that are converted without pydantic. It is imported only for other formats,
# because it takes 9 of the agent's 64 MB of memory.
_SIMPLE_FORMATS: dict[type, tuple[re.Pattern[str], Callable[[str], Any]]] = {
    int: (re.compile(r"-?[0-9]{1,18}"), int),
    float: (re.compile(r"-?[0-9]{1,15}(\.[0-9]{1,15})?"), float),
    bool: (re.compile("yes|no|true|false"), lambda text: text in ("yes", "true")),
}


def _convert(annotation: Any, text: str) -> Any:
    """Return the value of a setting, or None if the text is invalid."""
    if annotation is str or text in get_args(annotation):
        return text
    if annotation in _SIMPLE_FORMATS:
        pattern, convert = _SIMPLE_FORMATS[annotation]
        if pattern.fullmatch(text):
            return convert(text)
    from pydantic import TypeAdapter, ValidationError

    try:
        return TypeAdapter(annotation).validate_strings(text)
    except ValidationError:
        return None


def _check_section(
    name: str, kind: Any, raw: dict[str, str]
) -> tuple[Any, list[SettingError]]:
    errors = []
    known = {item.name: item for item in dataclasses.fields(kind)}
    for key in raw.keys() - known.keys():
        errors.append(
            SettingError(
                section=name,
                key=key,
                value=raw[key],
                remedy=f"remove it; known keys are {', '.join(known)}",
            )
        )
    hints = get_type_hints(kind)
    values = {}
    for key, item in known.items():
        remedy = item.metadata["remedy"]
        if key not in raw:
            if item.default is dataclasses.MISSING:
                errors.append(
                    SettingError(section=name, key=key, value=None, remedy=remedy)
                )
            continue
        value = _convert(hints[key], raw[key])
        check = _TEXT_CHECKS.get(key)
        number = isinstance(value, int | float) and not isinstance(value, bool)
        valid = (
            value is not None
            and not (number and value <= 0)
            and (check is None or check(raw[key]))
        )
        if valid:
            values[key] = value
        else:
            errors.append(
                SettingError(section=name, key=key, value=raw[key], remedy=remedy)
            )
    return (None if errors else kind(**values)), errors


def _check_engine_pools(
    pools: dict[str, PoolSettings | None],
) -> list[SettingError]:
    """Return errors for settings that must be equal in all pools of engines.

    The router has one client for all engines, with one credential and one CA.
    """
    engines = {
        name: pool
        for name, pool in pools.items()
        if pool is not None and pool.kind == "engine"
    }
    errors = []
    for key in ("credential", "tls_ca"):
        first = next((getattr(pool, key) for pool in engines.values()), "")
        for name, pool in engines.items():
            if getattr(pool, key) != first:
                remedy = "write the same value for every pool of engines"
                # The value may be a secret and is therefore not shown.
                errors.append(
                    SettingError(
                        section=POOL_PREFIX + name, key=key, value="...", remedy=remedy
                    )
                )
    return errors


def parse_settings(text: str, *, path: str = "settings") -> Settings:
    """Parse and check a settings file.

    Parameters
    ----------
    text : str
        Content of the INI file.
    path : str
        Name of the file in error messages.

    Returns
    -------
    Settings
        Checked settings.

    Raises
    ------
    SettingsError
        If any value is invalid; the error lists all of them.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=path)
    except configparser.Error as error:
        remedy = f"write a valid INI file ({error.message})"
        syntax_error = SettingError(section="", key="", value=None, remedy=remedy)
        raise SettingsError(path=path, errors=[syntax_error]) from error
    errors: list[SettingError] = []
    sections: dict[str, Any] = {}
    for name, kind in SECTIONS.items():
        raw = dict(parser[name]) if parser.has_section(name) else {}
        sections[name], section_errors = _check_section(name, kind, raw)
        errors.extend(section_errors)
    pools = {}
    for name in parser.sections():
        if name.startswith(POOL_PREFIX):
            pool, section_errors = _check_section(
                name, PoolSettings, dict(parser[name])
            )
            pools[name.removeprefix(POOL_PREFIX)] = pool
            errors.extend(section_errors)
        elif name not in SECTIONS:
            remedy = f"remove it; known sections are {', '.join(SECTIONS)}, pool NAME"
            errors.append(SettingError(section=name, key="", value=None, remedy=remedy))
    errors.extend(_check_engine_pools(pools))
    if errors:
        raise SettingsError(path=path, errors=errors)
    return Settings(**sections, pools=pools)


def load_settings(path: str) -> Settings:
    """Read, parse and check a settings file.

    Parameters
    ----------
    path : str
        Path of the INI file.

    Raises
    ------
    SettingsError
        If the file cannot be read or any value is invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        remedy = f"pass the path of a readable file ({error.strerror})"
        read_error = SettingError(section="", key="", value=None, remedy=remedy)
        raise SettingsError(path=path, errors=[read_error]) from error
    return parse_settings(text, path=path)
