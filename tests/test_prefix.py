import dataclasses

import pytest

from endivelug.prefix import SEGMENT_CHARACTERS, Namespace, chain_keys, hash_prompt

SECRET = b"a secret of the test suite"
NAMESPACE = Namespace(organisation="org", model="m", weights_version="1", adapter="a")
MESSAGES = [
    {"role": "system", "content": "rules" * 4000},
    {"role": "user", "content": [{"type": "text", "text": "question"}]},
]


# Guards against keys that match across organisations, models, weights or adapters (I1).
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
    prompt = hash_prompt(SECRET, NAMESPACE, MESSAGES)
    other = hash_prompt(SECRET, dataclasses.replace(NAMESPACE, **change), MESSAGES)
    assert not set(prompt.keys) & set(other.keys)
    assert NAMESPACE.digest(SECRET) != NAMESPACE.digest(b"another secret")


def test_prompts_share_the_keys_of_segments_before_the_first_difference():
    prompt = hash_prompt(SECRET, NAMESPACE, MESSAGES)
    changed = [MESSAGES[0], {"role": "user", "content": "another"}]
    other = hash_prompt(SECRET, NAMESPACE, changed)
    assert len(prompt.keys) == 4
    assert prompt.keys[:3] == other.keys[:3]
    assert prompt.keys[3] != other.keys[3]
    assert prompt.tokens[0] == SEGMENT_CHARACTERS // 4
    # The role is part of the prefix because engines render it into the prompt.
    swapped = [{"role": "user", "content": MESSAGES[0]["content"]}]
    assert hash_prompt(SECRET, NAMESPACE, swapped).keys[0] != prompt.keys[0]


def test_a_long_secret_and_lone_surrogates_are_accepted():
    long_secret = chain_keys(b"x" * 100, NAMESPACE, [b"piece"])
    assert long_secret != chain_keys(b"x" * 64, NAMESPACE, [b"piece"])
    assert hash_prompt(SECRET, NAMESPACE, [{"role": "user", "content": "\ud800"}]).keys
