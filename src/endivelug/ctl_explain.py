"""Implementation of the command ``endivelugctl explain``."""

import json
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from endivelug.ctl_output import Output
from endivelug.exceptions import EndivelugError
from endivelug.explain import operator_token
from endivelug.settings import Settings, load_settings


class ExplainFailed(EndivelugError):
    """The router did not explain the request; the message says how to proceed."""


def _read_request(path: str) -> Any:
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, ValueError) as error:
        raise ExplainFailed(
            f"{path}: write the JSON body of a chat completion there ({error})"
        ) from error


async def _request_explanation(
    settings: Settings, body: dict[str, Any]
) -> dict[str, Any]:
    listen = settings.router.admin_listen
    request = HTTPRequest(
        f"http://{listen}/explain",
        method="POST",
        headers={
            "Authorization": f"Bearer {operator_token(settings.links.secret)}",
            "Content-Type": "application/json",
        },
        body=json.dumps(body),
        request_timeout=5.0,
    )
    try:
        response = await AsyncHTTPClient().fetch(request, raise_error=False)
        document: dict[str, Any] = json.loads(response.body)
    except (HTTPClientError, OSError, ValueError, TypeError) as error:
        raise ExplainFailed(
            f"no response from the router at {listen} ({error}); pass the settings of "
            "a VM whose router is running and reachable from here"
        ) from error
    if response.code != 200:
        raise ExplainFailed(str(document.get("remedy", document)))
    return document


async def explain(
    output: Output,
    settings_path: str,
    *,
    organisation: str,
    request_path: str,
    work_class: str,
) -> bool:
    """Request an explanation from the running router of a VM and print it."""
    settings = load_settings(settings_path)
    explanation = await _request_explanation(
        settings,
        {
            "organisation": organisation,
            "request": _read_request(request_path),
            "work_class": work_class,
        },
    )
    refusal = explanation["refusal"]
    output.write_line(
        f"organisation {organisation}, plan {explanation['plan']}, "
        f"{explanation['work_class'] or 'no'} class, "
        f"weights {explanation['weights_version']}",
        **explanation,
    )
    if refusal is not None:
        output.write_line(f"refused: {refusal['title']}; {refusal['remedy']}")
        return True
    requests_s, tokens_s, streams = explanation["share"]
    output.write_line(
        f"share of this router: {requests_s:g} requests/s, {tokens_s:g} tokens/s, "
        f"{streams:g} streams; {explanation['queued']} request(s) of this class queued"
    )
    output.write_line(
        f"prompt: {explanation['pieces']} segments, "
        f"{explanation['prompt_tokens']} tokens"
    )
    for engine in explanation["engines"]:
        notes = [
            text
            for text, applies in (
                ("chosen", engine["engine"] == explanation["chosen"]),
                ("not usable", not engine["usable"]),
                ("no room for this class", not engine["has_room"]),
                ("owner did not respond", not engine["answered"]),
            )
            if applies
        ]
        output.write_line(
            f"  {engine['engine']}: {engine['depth']} segments cached, "
            f"{engine['compute_tokens']} tokens to compute, first token in "
            f"{engine['expected_ttft_s']:.3f} s"
            + (f" ({', '.join(notes)})" if notes else "")
        )
    return True
