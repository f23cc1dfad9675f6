"""Router for language-model traffic with long shared prompts."""

from endivelug.exceptions import EndivelugError
from endivelug.settings import Settings, load_settings, parse_settings

__version__ = "0.1.0"

__all__ = [
    "EndivelugError",
    "Settings",
    "__version__",
    "load_settings",
    "parse_settings",
]
