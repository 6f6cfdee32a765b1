"""Compression of rule files in updates."""

import json

import pytest
from test_rules import many_lines

from zinniaspoke import errors, feed

# A link of 2 Mbit/s carries four copies of this size in about half a second.
LARGE_COUNT, LARGE_BYTES = 1900, 32_000


def test_large_rule_file_is_compressed_and_round_trips():
    """Without compression, four copies with 1,812 more routes took 4 s to arrive over 2 Mbit/s."""
    content = "\n".join(many_lines(LARGE_COUNT)).encode()
    data = feed.encode(feed.Update(number=7, content=content), 0.0)
    assert len(data) < LARGE_BYTES
    assert feed.decode(data, "c1:1", 0.0).content == content


@pytest.mark.parametrize("compressed", ["!", "AAAA", "eJw=", 7, ["x"]])
def test_rule_file_that_cannot_be_decompressed_is_refused(compressed):
    body = json.loads(feed.encode(feed.Update(number=7, content=b"x"), 0.0))
    body["content"] = compressed
    with pytest.raises(errors.DatagramError):
        feed.decode(json.dumps(body).encode(), "c1:1", 0.0)
