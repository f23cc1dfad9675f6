"""Test with the real programs that organisations learn nothing of each other."""

import json

from measurements._cluster import fetch

from endivelug import messages
from programs import KEYS, authorization, chat_body


def open_stream(system, organisation, **members):
    """Return the id and the whole body of a streamed completion."""
    status, headers, body = system.chat(organisation, stream=True, **members)
    assert status == 200
    return headers["X-Stream-Id"], body


def resume(system, organisation, stream_id, after="0"):
    return fetch(
        f"{system.vm.router_url}/v1/streams/{stream_id}",
        headers={**authorization(organisation), "Last-Event-ID": after},
    )


def reserve(system, organisation, key, body):
    headers = {**authorization(organisation), "Idempotency-Key": key}
    url = f"{system.vm.router_url}/services/orders/reserve"
    return fetch(url, body=body, headers=headers)


# Guards against a stream id that is valid for any organisation that obtains it.
def test_stream_of_another_organisation_is_not_resumed(system):
    stream_id, body = open_stream(system, "org-b", text="secret of b " * 20)
    status, _, own = resume(system, "org-b", stream_id)
    assert status == 200
    assert own[own.index(b"id: 1\n") :] == body[body.index(b"id: 1\n") :]
    status, _, response = resume(system, "org-a", stream_id)
    assert (status, json.loads(response)["run"]) == (404, "not-run")
    assert b"org-b" not in response
    # Modified, truncated and foreign ids are refused with the same response.
    for changed in (stream_id[:-1], stream_id[::-1], "x", "%00", "A" * 500):
        other = resume(system, "org-a", changed)
        assert (other[0], other[2]) == (404, response)


# Guards against a stream id that was changed to name another organisation and whose
# signature is still accepted.
def test_every_changed_character_invalidates_a_stream_id(system):
    stream_id, _ = open_stream(system, "org-b")
    for position in range(0, len(stream_id), 5):
        other = "A" if stream_id[position] != "A" else "B"
        changed = stream_id[:position] + other + stream_id[position + 1 :]
        assert resume(system, "org-a", changed)[0] == 404, position
        assert resume(system, "org-b", changed)[0] == 404, position


# Guards against recorded responses and claims that are shared between organisations.
def test_same_idempotency_key_of_two_organisations(system):
    first = reserve(system, "org-b", "shared-key", {"key": "item-of-b"})
    assert first[0] == 200
    # org-a gets neither the response for org-b nor a refusal that reveals its use of
    # the key.
    second = reserve(system, "org-a", "shared-key", {"key": "item-of-a"})
    assert second[0] == 200
    assert b"item-of-b" not in second[2]
    assert "Idempotent-Replay" not in second[1]
    assert reserve(system, "org-b", "shared-key", {"key": "item-of-b"})[2] == first[2]
    assert reserve(system, "org-a", "shared-key", {"key": "item-of-b"})[0] == 422


# Guards against a prefix cache through which one organisation can probe the prompts of
# another.
def test_same_prompt_of_two_organisations_shares_no_cache(system):
    text = "the same long rules for everyone. " * 600
    cached = []
    for organisation in ("org-b", "org-b", "org-a"):
        status, _, body = system.chat(organisation, text=text)
        assert status == 200
        usage = json.loads(body)["usage"]
        details = usage.get("prompt_tokens_details") or {}
        cached.append(details.get("cached_tokens", 0))
    assert cached[0] == 0
    assert cached[1] > 0
    assert cached[2] == 0


# Guards against a caller that chooses the cache namespace.
def test_caller_can_not_choose_its_cache_namespace(system):
    for member in ("cache_salt", "prefix", "import_keys", "stream_id", "priority"):
        status, _, response = system.chat("org-a", **{member: "org-b"})
        assert (status, json.loads(response)["run"]) == (400, "not-run"), member


# Guards against names of organisations in responses that any caller can read.
def test_names_of_other_organisations_are_in_no_response(system):
    url, own = system.vm.router_url, authorization("org-a")
    chat = "/v1/chat/completions"
    responses = [
        fetch(f"{url}{chat}", body={}, headers=own),
        fetch(f"{url}{chat}", body=chat_body(model="no"), headers=own),
        fetch(f"{url}{chat}", body=chat_body(), headers={"Authorization": "Bearer x"}),
        fetch(f"{url}{chat}", body=chat_body()),
        fetch(f"{url}/services/none/x", headers=own),
        fetch(f"{url}/services/orders/none", headers=own),
        fetch(f"{url}/v1/models", headers=own),
        fetch(f"{url}/v1/streams/x", headers=own),
        fetch(f"{url}/healthz"),
        fetch(f"{url}/readyz"),
        # The operators' pages are not served on the callers' address.
        fetch(f"{url}/metrics", headers=own),
        fetch(f"{url}/explain", body={}, headers=own),
    ]
    for status, headers, body in responses:
        assert b"org-b" not in body, (status, body)
        assert "org-b" not in str(headers)
    assert [responses[-2][0], responses[-1][0]] == [404, 404]
    unknown, missing = responses[2], responses[3]
    assert unknown[2] == missing[2]


# Guards against operators' requests that any process on the network can make.
def test_explain_needs_the_operators_token(system):
    for headers in ({}, authorization("org-a"), {"Authorization": "Bearer x"}):
        body = {"organisation": "org-b", "request": chat_body()}
        response = fetch(f"{system.vm.admin_url}/explain", body=body, headers=headers)
        assert response[0] == 401
        assert b"org-b" not in response[2]


# Guards against caller keys and prompts in logs, metrics and status.
def test_keys_and_prompts_are_not_disclosed(system):
    prompt = "confidential sentence of a test"
    for organisation, key in KEYS.items():
        system.chat(organisation, text=prompt)
        headers = {**authorization(organisation), "X-Deadline-Seconds": "x"}
        fetch(f"{system.vm.router_url}/nothing?key={key}", headers=headers)
        fetch(f"{system.vm.router_url}/v1/streams/{key}", headers=headers)
    with system.link() as peer:
        status = str(peer.ask(messages.StatusRequest()))
    pages = [
        system.logs(),
        status,
        fetch(f"{system.vm.admin_url}/metrics")[2].decode(),
        fetch(f"{system.vm.agent_url}/metrics")[2].decode(),
    ]
    for page in pages:
        assert prompt not in page
        for key in KEYS.values():
            assert key not in page
