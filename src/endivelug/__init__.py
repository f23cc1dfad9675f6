"""Router for language-model traffic with long shared prompts."""

from typing import Any

from endivelug.exceptions import EndivelugError

__version__ = "0.1.0"

__all__ = [
    "EndivelugError",
    "Settings",
    "__version__",
    "load_settings",
    "parse_settings",
]


def __getattr__(name: str) -> Any:
    # Loaded when they are used: a node on a platform has no INI settings, and every
    # process imports this package first.
    if name in ("Settings", "load_settings", "parse_settings"):
        from endivelug import settings

        return getattr(settings, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
