"""The platform's settings file, decoded into the router's settings."""

import json
from pathlib import Path
from typing import Any

from endivelug.exceptions import SettingError, SettingsError
from endivelug.forwarding.node_settings import NodeSettings

# Holds the path of the settings file.
PATH_VARIABLE = "ENDIVELUG_NODE_FILE"


class _Reader:
    """Reads typed values and collects everything that is wrong."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document
        self.errors: list[SettingError] = []

    def text(self, section: str, key: str) -> str:
        value = self._value(section, key)
        if isinstance(value, str) and value:
            return value
        self._wrong(section, key, value, "write a text")
        return ""

    def number(self, section: str, key: str, scale: float = 1.0) -> float:
        value = self._value(section, key)
        if isinstance(value, int | float) and type(value) is not bool and value >= 0:
            return float(value) * scale
        self._wrong(section, key, value, "write a number")
        return 0.0

    def flag(self, section: str, key: str) -> bool:
        value = self._value(section, key)
        if isinstance(value, bool):
            return value
        self._wrong(section, key, value, "write true or false")
        return False

    def first_port(self) -> int:
        value = self._value("", "internalPorts")
        if isinstance(value, list) and value and type(value[0]) is int:
            port: int = value[0]
            return port
        self._wrong("", "internalPorts", value, "write two ports")
        return 0

    def _value(self, section: str, key: str) -> Any:
        place = self.document.get(section, {}) if section else self.document
        return place.get(key) if isinstance(place, dict) else None

    def _wrong(self, section: str, key: str, value: Any, remedy: str) -> None:
        shown = None if value is None else str(value)
        self.errors.append(
            SettingError(section=section or "top", key=key, value=shown, remedy=remedy)
        )


def load_node_settings(path: str) -> NodeSettings:
    """Read and check the settings file.

    Raises
    ------
    SettingsError
        Where values are missing or of another type; it names all of them.
    """
    try:
        document = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        wrong = SettingError(
            section="top", key=path, value=None, remedy=f"write JSON ({error})"
        )
        raise SettingsError(path=path, errors=[wrong]) from error
    reader = _Reader(document if isinstance(document, dict) else {})
    settings = _settings(reader)
    if reader.errors:
        raise SettingsError(path=path, errors=reader.errors)
    return settings


def _settings(reader: _Reader) -> NodeSettings:
    return NodeSettings(
        vm=reader.text("", "nodeName"),
        data_centre=reader.text("", "zone"),
        ip=reader.text("", "ip"),
        front=reader.text("listenAddrs", "front"),
        ready=reader.text("listenAddrs", "ready"),
        link_port=reader.first_port(),
        store=reader.text("platform", "address"),
        drain_s=reader.number("bounds", "drainMs", 0.001),
        grace_s=reader.number("bounds", "graceS"),
        lease_s=reader.number("bounds", "leaseMs", 0.001),
        weights_limit_s=reader.number("bounds", "versionMs", 0.001),
        checks_fencing=reader.flag("bounds", "fencingRequired"),
        retry_ratio=reader.number("bounds", "retryBudgetRatio"),
        retry_slack=reader.number("bounds", "retrySlack"),
        retry_window_s=reader.number("bounds", "budgetWindowS"),
    )
