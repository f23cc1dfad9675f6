"""Reader of the platform's settings file."""

from pathlib import Path
from typing import Any

from endivelug.exceptions import SettingError, SettingsError
from endivelug.forwarding.node_settings import (
    DEFAULT_QUOTA_OVER,
    DEFAULT_QUOTA_SLACK,
    DEFAULT_QUOTA_WINDOW_S,
    NodeSettings,
)
from endivelug.platform.documents import DocumentUnreadable, read_object

# Environment variable with the path of the settings file.
PATH_VARIABLE = "ENDIVELUG_NODE_FILE"


class _SettingsReader:
    """Reads typed values and collects an error for each invalid one."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document
        self.errors: list[SettingError] = []

    def text(self, section: str, key: str) -> str:
        value = self._value(section, key)
        if isinstance(value, str) and value:
            return value
        self._add_error(section, key, value, "write a non-empty string")
        return ""

    def number(self, section: str, key: str, scale: float = 1.0) -> float:
        value = self._value(section, key)
        if isinstance(value, int | float) and type(value) is not bool and value >= 0:
            return float(value) * scale
        self._add_error(section, key, value, "write a number, 0 or above")
        return 0.0

    def optional_number(self, section: str, key: str) -> float:
        """Return a number, or 0 if the file does not have it."""
        return 0.0 if self._value(section, key) is None else self.number(section, key)

    def number_or(self, section: str, key: str, default: float) -> float:
        """Return a number, or the default if the file does not have it."""
        if self._value(section, key) is None:
            return default
        return self.number(section, key)

    def flag(self, section: str, key: str) -> bool:
        value = self._value(section, key)
        if isinstance(value, bool):
            return value
        self._add_error(section, key, value, "write true or false")
        return False

    def lists(self, key: str, name: str) -> bool:
        """Return whether an optional list has a name."""
        value = self._value("", key)
        if value is not None and not isinstance(value, list):
            self._add_error("", key, value, "write a list of names")
        return isinstance(value, list) and name in value

    def first_port(self) -> int:
        value = self._value("", "internalPorts")
        if isinstance(value, list) and value and type(value[0]) is int:
            port: int = value[0]
            return port
        self._add_error("", "internalPorts", value, "write a list of two ports")
        return 0

    def _value(self, section: str, key: str) -> Any:
        values = self.document.get(section, {}) if section else self.document
        return values.get(key) if isinstance(values, dict) else None

    def _add_error(self, section: str, key: str, value: Any, remedy: str) -> None:
        shown = None if value is None else str(value)
        self.errors.append(
            SettingError(section=section or "top", key=key, value=shown, remedy=remedy)
        )


def load_node_settings(path: str) -> NodeSettings:
    """Read and check the settings file.

    Raises
    ------
    SettingsError
        If values are missing or have the wrong type; it lists all of them.
    """
    try:
        document = read_object(Path(path).read_bytes())
    except (OSError, DocumentUnreadable) as error:
        unreadable = SettingError(
            section="top", key=path, value=None, remedy=f"write JSON ({error})"
        )
        raise SettingsError(path=path, errors=[unreadable]) from error
    reader = _SettingsReader(document)
    settings = _settings(reader)
    if reader.errors:
        raise SettingsError(path=path, errors=reader.errors)
    return settings


def _settings(reader: _SettingsReader) -> NodeSettings:
    return NodeSettings(
        vm=reader.text("", "nodeName"),
        data_centre=reader.text("", "zone"),
        ip=reader.text("", "ip"),
        front=reader.text("listenAddrs", "front"),
        ready=reader.text("listenAddrs", "ready"),
        link_port=reader.first_port(),
        # A share of a core that runs at a multiple of the usual speed.
        cores=reader.optional_number("limits", "cpuShare")
        * reader.optional_number("limits", "cores"),
        store=reader.text("platform", "address"),
        drain_s=reader.number("bounds", "drainMs", 0.001),
        grace_s=reader.number("bounds", "graceS"),
        lease_s=reader.number("bounds", "leaseMs", 0.001),
        weights_limit_s=reader.number("bounds", "versionMs", 0.001),
        checks_fencing=reader.flag("bounds", "fencingRequired"),
        retry_ratio=reader.number("bounds", "retryBudgetRatio"),
        retry_slack=reader.number("bounds", "retrySlack"),
        retry_window_s=reader.number("bounds", "budgetWindowS"),
        quota_window_s=reader.number_or(
            "bounds", "quotaWindowS", DEFAULT_QUOTA_WINDOW_S
        ),
        quota_over=reader.number_or("bounds", "quotaOver", DEFAULT_QUOTA_OVER),
        quota_slack=reader.number_or("bounds", "quotaSlack", DEFAULT_QUOTA_SLACK),
        # The platform lists this part where load presses beyond what upstreams carry.
        protects_upstreams=reader.lists("contracts", "pressure"),
        memory_mb=reader.optional_number("limits", "memoryMb"),
        max_fds=int(reader.optional_number("limits", "maxFds")),
    )
