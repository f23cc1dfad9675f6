import dataclasses

import pytest

from endivelug.prefix import SEGMENT_CHARACTERS, Namespace, chain_keys, hash_prompt

SECRET = b"a secret of the test suite"
SPACE = Namespace(organisation="org", model="m", weights_version="1", adapter="a")
MESSAGES = [
    {"role": "system", "content": "rules" * 4000},
    {"role": "user", "content": [{"type": "text", "text": "question"}]},
]


# Guards against a match across organisations, models, weights or adapters (I1).
@pytest.mark.parametrize(
    "change",
    [
        {"organisation": "other"},
        {"organisation": "orgm", "model": ""},
        {"model": "n"},
        {"weights_version": "2"},
        {"adapter": "b"},
    ],
)
def test_no_key_is_shared_between_namespaces(change):
    prompt = hash_prompt(SECRET, SPACE, MESSAGES)
    other = hash_prompt(SECRET, dataclasses.replace(SPACE, **change), MESSAGES)
    assert not set(prompt.keys) & set(other.keys)
    assert SPACE.digest(SECRET) != SPACE.digest(b"another secret")


def test_pieces_share_keys_up_to_the_first_difference():
    prompt = hash_prompt(SECRET, SPACE, MESSAGES)
    changed = [MESSAGES[0], {"role": "user", "content": "another"}]
    other = hash_prompt(SECRET, SPACE, changed)
    assert len(prompt.keys) == 4
    assert prompt.keys[:3] == other.keys[:3]
    assert prompt.keys[3] != other.keys[3]
    assert prompt.tokens[0] == SEGMENT_CHARACTERS // 4
    # The role is part of the prefix: engines render it into the prompt.
    swapped = [{"role": "user", "content": MESSAGES[0]["content"]}]
    assert hash_prompt(SECRET, SPACE, swapped).keys[0] != prompt.keys[0]


def test_a_long_secret_and_lone_surrogates_are_accepted():
    long = chain_keys(b"x" * 100, SPACE, [b"piece"])
    assert long != chain_keys(b"x" * 64, SPACE, [b"piece"])
    assert hash_prompt(SECRET, SPACE, [{"role": "user", "content": "\ud800"}]).keys
