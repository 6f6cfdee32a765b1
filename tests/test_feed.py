"""Updates between control VMs and their followers."""

import json

import pytest
from test_rules import many_lines

from zinniaspoke import errors, feed

# An entry VM's link of 2 Mbit/s carries four such copies in half a second.
LARGE_COUNT, LARGE_BYTES = 1900, 32_000


def test_large_rule_file_is_small_on_the_way_and_arrives_whole():
    """1,812 routes more once took four copies over 2 Mbit/s and came after 4 s."""
    content = "\n".join(many_lines(LARGE_COUNT)).encode()
    data = feed.encode(feed.Update(number=7, content=content), 0.0)
    assert len(data) < LARGE_BYTES
    assert feed.decode(data, "c1:1", 0.0).content == content


@pytest.mark.parametrize("packed", ["!", "AAAA", "eJw=", 7, ["x"]])
def test_rule_file_that_cannot_be_unpacked_is_no_update(packed):
    body = json.loads(feed.encode(feed.Update(number=7, content=b"x"), 0.0))
    body["content"] = packed
    with pytest.raises(errors.DatagramError):
        feed.decode(json.dumps(body).encode(), "c1:1", 0.0)
