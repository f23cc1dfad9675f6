import base64

import pytest

from endivelug.exceptions import StreamTokenInvalid
from endivelug.stream_ids import StreamAddress, StreamIdSigner

SIGNER = StreamIdSigner(secret=b"secret")
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


# Guards against access to a stream of another organisation, or with a forged id.
def test_forged_damaged_and_foreign_ids_are_rejected():
    stream_id = SIGNER.sign(ADDRESS)
    assert SIGNER.verify(stream_id, organisation="o") == ADDRESS
    damaged = bytearray(
        base64.urlsafe_b64decode(stream_id + "=" * (-len(stream_id) % 4))
    )
    damaged[-1] ^= 1
    for invalid_id, organisation in [
        (stream_id, "other"),
        (base64.urlsafe_b64encode(bytes(damaged)).decode(), "o"),
        (StreamIdSigner(secret=b"another").sign(ADDRESS), "o"),
        (stream_id[:-4], "o"),
        (stream_id + "AAAA", "o"),
        ("", "o"),
        ("\u00fc", "o"),
        ("A" * 5000, "o"),
    ]:
        with pytest.raises(StreamTokenInvalid):
            SIGNER.verify(invalid_id, organisation=organisation)
