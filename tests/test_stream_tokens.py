import base64

import pytest

from endivelug.exceptions import StreamTokenInvalid
from endivelug.stream_ids import StreamAddress, StreamIdSigner

TOKENS = StreamIdSigner(secret=b"secret")
ADDRESS = StreamAddress(
    organisation="o",
    engine="e",
    address="127.0.0.1:1",
    incarnation=1,
    engine_stream_id="s",
    completion_id="c",
    offset=0,
    wants_usage=False,
)


# Guards against reading a stream of another organisation or of a made-up id.
def test_forged_damaged_and_foreign_ids_are_refused():
    token = TOKENS.sign(ADDRESS)
    assert TOKENS.verify(token, organisation="o") == ADDRESS
    damaged = bytearray(base64.urlsafe_b64decode(token + "=" * (-len(token) % 4)))
    damaged[-1] ^= 1
    for bad, organisation in [
        (token, "other"),
        (base64.urlsafe_b64encode(bytes(damaged)).decode(), "o"),
        (StreamIdSigner(secret=b"another").sign(ADDRESS), "o"),
        (token[:-4], "o"),
        (token + "AAAA", "o"),
        ("", "o"),
        ("\u00fc", "o"),
        ("A" * 5000, "o"),
    ]:
        with pytest.raises(StreamTokenInvalid):
            TOKENS.verify(bad, organisation=organisation)
