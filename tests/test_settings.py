from typing import Literal

import pytest
from pydantic import TypeAdapter, ValidationError

from builders import SETTINGS
from endivelug import settings
from endivelug.exceptions import SettingsError
from endivelug.settings import parse_settings


def test_valid_file():
    parsed = parse_settings(SETTINGS)
    assert parsed.vm.name == "vm1"
    assert parsed.pools["chat"].checks_fencing is False


# Guards against starting with a partly valid file, and against reporting only the first
# of several errors.
def test_every_error_is_reported_at_once():
    text = SETTINGS.replace("name = vm1", "nmae = vm1")
    text = text.replace("127.0.0.1:0", "localhost", 1)
    text += "prefill_tokens_s = -1\n[unknown]\nx = 1\n"
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    places = {(error.section, error.key) for error in caught.value.errors}
    assert places == {
        ("vm", "nmae"),
        ("vm", "name"),
        ("router", "listen"),
        ("pool chat", "prefill_tokens_s"),
        ("unknown", ""),
    }
    assert all(error.remedy for error in caught.value.errors)


def test_text_that_is_not_ini_is_rejected():
    with pytest.raises(SettingsError, match="valid INI"):
        parse_settings("no section")


# Guards against a conversion of common spellings that differs from the one by pydantic.
@pytest.mark.parametrize(
    ("kind", "texts"),
    [
        (int, ["0", "-7", "007", "12345678901234567", "1.0", "1_000", "x", ""]),
        (float, ["2.5", "-0.1", "10", "1e3", "nan", "inf", ".5", "1,5", " 1"]),
        (bool, ["yes", "no", "true", "false", "on", "Yes", "2", ""]),
        (Literal["latency", "reuse"], ["latency", "reuse", "Latency", ""]),
    ],
)
def test_values_are_converted_as_by_pydantic(kind, texts):
    for text in texts:
        try:
            expected = TypeAdapter(kind).validate_strings(text)
        except ValidationError:
            expected = None
        assert repr(settings._convert(kind, text)) == repr(expected), text


# Guards against sending a credential to the engines of another pool.
def test_engine_pools_with_different_credentials_are_rejected():
    text = SETTINGS + "credential = one\n[pool other]\nkind = engine\n"
    with pytest.raises(SettingsError, match="same value for every pool") as caught:
        parse_settings(text)
    assert "one" not in str(caught.value)
    parse_settings(text + "credential = one\n")
