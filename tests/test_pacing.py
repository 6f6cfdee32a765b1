"""Pacing to a narrow link with fair queueing: uploads beside short requests on 2 Mbit/s."""

import collections
import heapq

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import counters, pacing

LINK_BYTES_PER_S = 250_000.0
# What the modelled link holds before it drops: four of the largest datagrams, 20 ms.
LINK_QUEUE_BYTES = 4 * (1242 + pacing.HEADER_BYTES)
UPLOAD_WINDOW = 16
ROUND_TRIP_S = 0.008
RETRANSMIT_S = 0.2
ENDPOINT = ("10.0.0.1", 80)


class Link:
    """A link of fixed bandwidth that drops what its short queue cannot hold."""

    def __init__(self):
        self.idle_s = 0.0
        self.lost = 0
        self.arrived = []

    def send(self, datagram, now_s):
        """Returns when the datagram arrives, or None if it was dropped."""
        backlog_s = max(0.0, self.idle_s - now_s)
        if backlog_s * LINK_BYTES_PER_S + datagram.wire_bytes > LINK_QUEUE_BYTES:
            self.lost += 1
            return None
        self.idle_s = max(self.idle_s, now_s) + datagram.wire_bytes / LINK_BYTES_PER_S
        self.arrived.append((self.idle_s, datagram))
        return self.idle_s


class Upload:
    """A caller that keeps a window of packets in flight and retransmits each after 0.2 s."""

    def __init__(self, key, count, start_s=0.0):
        self.key = key
        self.count = count
        self.start_s = start_s
        self.sent = 0
        self.acknowledged = set()
        self.finished_s = None
        self.retransmit_count = 0


def play(uploads, is_paced, short_flows=()):
    """Plays uploads through one entry VM.

    Args:
        uploads: The uploads.
        is_paced: Whether the entry VM paces what it sends.
        short_flows: Start times of requests of one packet each.

    Returns:
        The link and the delay of each request of one packet, None for those that were lost.
    """
    link = Link()
    counts = counters.Counters()
    pacer = pacing.Pacer(bytes_per_s=LINK_BYTES_PER_S, counts=counts)
    agenda = []
    ticket = 0
    delays = {}

    def at(time_s, step):
        nonlocal ticket
        ticket += 1
        heapq.heappush(agenda, (time_s, ticket, step))

    def put_on_link(made, now_s):
        arrival_s = link.send(made, now_s)
        if made.flow.startswith(b"short"):
            delays[made.flow] = None if arrival_s is None else arrival_s - short_starts[made.flow]
        elif arrival_s is not None:
            at(arrival_s + ROUND_TRIP_S, lambda t: acknowledge(made, t))

    def submit(made, now_s):
        if not is_paced or pacer.submit(made, now_s):
            put_on_link(made, now_s)
        if pacer:
            at(pacer.next_send_s, drain)

    def drain(now_s):
        for made in pacer.take_due(now_s):
            put_on_link(made, now_s)
        if pacer:
            at(max(now_s + 1e-6, pacer.next_send_s), drain)

    by_key = {upload.key: upload for upload in uploads}

    def transmit(upload, number, now_s):
        submit(datagram(upload.key, number), now_s)
        at(now_s + RETRANSMIT_S, lambda t: retransmit(upload, number, t))

    def retransmit(upload, number, now_s):
        if number not in upload.acknowledged:
            upload.retransmit_count += 1
            transmit(upload, number, now_s)

    def fill_window(upload, now_s):
        while upload.sent < upload.count and upload.sent - len(upload.acknowledged) < UPLOAD_WINDOW:
            upload.sent += 1
            transmit(upload, upload.sent - 1, now_s)

    def acknowledge(made, now_s):
        upload = by_key[made.flow]
        upload.acknowledged.add(made.sequence)
        if len(upload.acknowledged) == upload.count and upload.finished_s is None:
            upload.finished_s = now_s - upload.start_s
        fill_window(upload, now_s)

    for upload in uploads:
        at(upload.start_s, lambda t, u=upload: fill_window(u, t))
    short_starts = {b"short%d" % n: start_s for n, start_s in enumerate(short_flows)}
    for key, start_s in short_starts.items():
        at(start_s, lambda t, k=key: submit(datagram(k, 0, size=900), t))
    while agenda:
        now_s, _, step = heapq.heappop(agenda)
        step(now_s)
    return link, list(delays.values())


def datagram(flow, sequence=None, size=1242, **values):
    return pacing.Datagram(
        data=bytes(size), endpoint=ENDPOINT, flow=flow, sequence=sequence, **values
    )


def make_pacer(counts=None):
    return pacing.Pacer(bytes_per_s=LINK_BYTES_PER_S, counts=counts or counters.Counters())


def fill(pacer, flow, count, now_s=0.0):
    return [pacer.submit(datagram(flow, n), now_s) for n in range(count)]


def drain(pacer, now_s=0.0):
    """Returns all waiting datagrams with the times at which they are sent."""
    sent = []
    while pacer:
        now_s = max(now_s, pacer.next_send_s)
        sent += [(now_s, made) for made in pacer.take_due(now_s)]
    return sent


def test_uploads_on_a_narrow_link_lose_nothing_when_paced():
    """Three uploads at once: their windows are twelve times what the link's queue holds."""
    uploads = [Upload(b"u%d" % n, 34) for n in range(3)]
    link, _ = play(uploads, is_paced=False)
    assert link.lost > 50
    slowest_unpaced_s = max(upload.finished_s for upload in uploads)
    uploads = [Upload(b"u%d" % n, 34) for n in range(3)]
    link, _ = play(uploads, is_paced=True)
    assert link.lost == 0
    slowest_s = max(upload.finished_s for upload in uploads)
    link_time_s = 3 * 34 * datagram(b"").wire_bytes / LINK_BYTES_PER_S
    assert slowest_s < slowest_unpaced_s
    assert slowest_s < link_time_s / pacing.PACED_SHARE + 0.1


def test_short_requests_beside_uploads_wait_for_one_datagram_of_each_at_most():
    uploads = [Upload(b"u%d" % n, 60) for n in range(3)]
    # Each start is just after a burst of the uploads' first packets or retransmissions.
    starts = [0.001 + RETRANSMIT_S * n for n in range(10)]
    _, delays = play(uploads, is_paced=False, short_flows=starts)
    assert None in delays
    uploads = [Upload(b"u%d" % n, 60) for n in range(3)]
    _, delays = play(uploads, is_paced=True, short_flows=starts)
    largest_s = datagram(b"").wire_bytes / LINK_BYTES_PER_S
    own_s = datagram(b"", size=900).wire_bytes / LINK_BYTES_PER_S
    on_the_link_s = pacing.BURST_S + largest_s
    assert len(delays) == 10
    assert max(delays) <= on_the_link_s + 3 * largest_s / pacing.PACED_SHARE + own_s


def test_idle_link_sends_at_once():
    assert make_pacer().submit(datagram(b"u"), 5.0)


def test_burst_is_limited_and_the_rest_is_sent_at_the_paced_rate():
    pacer = make_pacer()
    now = fill(pacer, b"u", 20)
    assert 1 <= sum(now) <= 3
    sent = drain(pacer)
    assert len(sent) + sum(now) == 20
    last_s = sent[-1][0]
    paced_bytes = LINK_BYTES_PER_S * pacing.PACED_SHARE
    assert last_s == pytest.approx(19 * datagram(b"").wire_bytes / paced_bytes, abs=pacing.BURST_S)


def test_flows_take_turns_and_keep_their_own_order():
    pacer = make_pacer()
    fill(pacer, b"a", 12)
    fill(pacer, b"b", 6)
    order = [(made.flow, made.sequence) for _, made in drain(pacer)]
    flows = [flow for flow, _ in order]
    assert flows[:12].count(b"b") == 6
    for key in (b"a", b"b"):
        numbers = [number for flow, number in order if flow == key]
        assert numbers == sorted(numbers)


def test_openings_and_refusals_are_sent_before_all_others():
    pacer = make_pacer()
    fill(pacer, b"a", 10)
    pacer.submit(datagram(b"new", size=42, is_opening=True), 0.0)
    assert drain(pacer)[0][1].flow == b"new"


def test_retransmission_takes_the_place_of_its_waiting_copy():
    counts = counters.Counters()
    pacer = make_pacer(counts)
    fill(pacer, b"a", 5)
    newer = datagram(b"a", 3)
    pacer.submit(newer, 0.01)
    sent = [made for _, made in drain(pacer, 0.01)]
    assert [made.sequence for made in sent].count(3) == 1
    assert newer in sent
    assert counts.events["copies_replaced"] == 1


def test_acknowledgements_without_payload_replace_nothing():
    pacer = make_pacer()
    fill(pacer, b"a", 3)
    for _ in range(4):
        pacer.submit(datagram(b"a", None, size=42), 0.0)
    assert sum(made.sequence is None for _, made in drain(pacer)) == 4


@pytest.mark.parametrize(
    ("is_opening", "limit_s"),
    [(True, pacing.OPENING_WAIT_LIMIT_S), (False, pacing.WAIT_LIMIT_S)],
)
def test_datagram_that_its_sender_gave_up_is_not_sent(is_opening, limit_s):
    """A late packet would run work whose caller has left."""
    counts = counters.Counters()
    pacer = make_pacer(counts)
    fill(pacer, b"a", 3)
    pacer.submit(datagram(b"b", 1, is_opening=is_opening), 0.0)
    late = pacer.take_due(limit_s + 0.01)
    assert b"b" not in [made.flow for made in late]
    assert counts.drops["waited_too_long_for_link"] >= 1


def test_retransmission_keeps_a_waiting_datagram_valid():
    pacer = make_pacer()
    fill(pacer, b"a", 3)
    pacer.submit(datagram(b"a", 2), 1.0)
    late = pacer.take_due(pacing.WAIT_LIMIT_S + 0.5)
    assert [made.sequence for made in late] == [2]


def test_reset_by_the_caller_discards_what_waits_of_its_flow_alone():
    pacer = make_pacer()
    fill(pacer, b"a", 8)
    fill(pacer, b"b", 4)
    pacer.submit(datagram(b"a", is_opening=True), 0.0)
    pacer.cancel(b"a")
    assert {made.flow for _, made in drain(pacer)} == {b"b"}
    assert pacer.queued_bytes == 0


def test_full_queue_drops_from_the_flow_with_most_bytes():
    counts = counters.Counters()
    pacer = make_pacer(counts)
    count = pacing.QUEUE_LIMIT_BYTES // datagram(b"").wire_bytes
    fill(pacer, b"a", count + 10)
    fill(pacer, b"b", 5)
    assert pacer.queued_bytes <= pacing.QUEUE_LIMIT_BYTES
    assert counts.drops["link_queue_full"] >= 5
    sent = collections.Counter(made.flow for _, made in drain(pacer))
    assert sent[b"b"] == 5


def test_full_queue_of_openings_stays_bounded():
    pacer = make_pacer()
    for number in range(9000):
        pacer.submit(datagram(b"%d" % number, size=42, is_opening=True), 0.0)
    assert pacer.queued_bytes <= pacing.QUEUE_LIMIT_BYTES


def test_what_waits_is_counted():
    counts = counters.Counters()
    pacer = make_pacer(counts)
    fill(pacer, b"a", 6)
    sent = drain(pacer)
    assert counts.histograms["link_wait"].count == len(sent) > 0


@given(
    submitted=st.lists(
        st.tuples(
            st.sampled_from([b"a", b"b", b"c", b"d"]),
            st.integers(0, 30) | st.none(),
            st.integers(42, 1242),
            st.booleans(),
            st.floats(0.0, 0.05),
        ),
        max_size=60,
    ),
    resets=st.sets(st.integers(0, 60)),
)
def test_any_traffic_stays_within_the_rate_and_no_datagram_is_lost_or_sent_twice(submitted, resets):
    counts = counters.Counters()
    pacer = make_pacer(counts)
    now_s = 0.0
    sent = []
    for step, (flow, sequence, size, is_opening, gap_s) in enumerate(submitted):
        now_s += gap_s
        sent += [(now_s, made) for made in pacer.take_due(now_s)]
        if step in resets:
            pacer.cancel(flow)
        made = datagram(flow, sequence, size, is_opening=is_opening)
        if pacer.submit(made, now_s):
            sent.append((now_s, made))
    sent += drain(pacer, now_s)
    assert pacer.queued_bytes == 0
    assert len({id(made) for _, made in sent}) == len(sent)
    dropped = sum(counts.drops.values()) + counts.events["copies_replaced"]
    if not resets:
        assert len(sent) + dropped == len(submitted)
    rate = LINK_BYTES_PER_S * pacing.PACED_SHARE
    for first in range(len(sent)):
        carried = 0
        for time_s, made in sent[first:]:
            window_s = time_s - sent[first][0]
            # One datagram may start within the burst.
            assert carried <= rate * (window_s + pacing.BURST_S) + 1e-6
            carried += made.wire_bytes
