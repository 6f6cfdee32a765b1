"""Updates: compression of rule files, and targets with odd values."""

import json

import pytest
from test_rules import many_lines

from zinniaspoke import errors, feed, roster

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


@pytest.mark.parametrize("left_s", ["Infinity", "-Infinity", "NaN", "1e307", "3.21"])
def test_any_length_of_a_warm_up_that_a_peer_names_can_be_passed_on(left_s):
    """One that could not ended each control VM that held the target."""
    target = roster.Target(
        identity="i-1",
        started_ms=1,
        sequence=1,
        service="api",
        address=("10.0.0.1", 80),
        zone="a",
        slot_count=2,
        warm_at_s=7.5,
    )
    observation = feed.Observation(target=target, age_s=0.0, is_silent=False)
    data = feed.encode(feed.Update(observations=(observation,)), 0.0).replace(
        b"7.5", left_s.encode()
    )
    update = feed.decode(data, "c1:1", 10.0)
    again = feed.decode(feed.encode(update, 10.0), "c2:1", 10.0).observations[0].target
    assert 10.0 <= again.warm_at_s <= 10.0 + feed.WARM_UP_LIMIT_S
    if left_s == "3.21":
        assert again.warm_at_s == pytest.approx(13.21, abs=0.02)


@pytest.mark.parametrize("order_ms", [5000, 7000])
@pytest.mark.parametrize("former_starts", [(), (1000, 2000)])
def test_earlier_starts_follow_what_an_earlier_version_reads(former_starts, order_ms):
    target = roster.Target(
        identity="i-1",
        started_ms=5000,
        sequence=1,
        service="api",
        address=("10.0.0.1", 80),
        zone="a",
        slot_count=2,
        order_ms=order_ms,
        former_starts=former_starts,
    )
    observation = feed.Observation(target=target, age_s=0.0, is_silent=False)
    data = feed.encode(feed.Update(observations=(observation,)), 0.0)
    assert feed.decode(data, "c1:1", 0.0).observations[0].target == target
    # The earlier version takes the thirteenth value for the order, and the start where it lacks.
    (row,) = json.loads(data)["targets"]
    assert (row[12] if len(row) > 12 else row[1]) == order_ms
    if not former_starts:
        assert len(row) == (12 if order_ms == 5000 else 13)


@pytest.mark.parametrize("starts", [7, "x", ["x"], None])
def test_earlier_starts_that_cannot_be_read_are_refused(starts):
    row = ["i-1", 5000, 1, "api", "10.0.0.1", 80, "a", 2, 0, 0.0, 0.0, False, 5000, starts]
    body = json.loads(feed.encode(feed.Update(), 0.0))
    body["targets"] = [row]
    with pytest.raises(errors.DatagramError):
        feed.decode(json.dumps(body).encode(), "c1:1", 0.0)


@pytest.mark.parametrize("end", list(roster.End))
@pytest.mark.parametrize("has_drained", [False, True])
def test_evidence_of_an_end_is_passed_on(end, has_drained):
    target = roster.Target(
        identity="i-1",
        started_ms=5000,
        sequence=1,
        service="api",
        address=("10.0.0.1", 80),
        zone="a",
        slot_count=2,
        state=roster.State.ENDED,
        end=end,
        has_drained=has_drained,
    )
    observation = feed.Observation(target=target, age_s=0.0, is_silent=False)
    data = feed.encode(feed.Update(observations=(observation,)), 0.0)
    assert feed.decode(data, "c1:1", 0.0).observations[0].target == target
    body = json.loads(data)
    (row,) = body["targets"]
    assert (row[8], row[12]) == (roster.State.ENDED, 5000)
    # As a VM of an earlier version sends it.
    body["targets"] = [row[:12]]
    received = feed.decode(json.dumps(body).encode(), "c1:1", 0.0).observations[0].target
    assert (received.state, received.may_run) == (roster.State.ENDED, False)
