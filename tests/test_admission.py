"""Uploads on a narrow link: few carried whole, the others held at the opening or refused."""

import heapq
import random

import attrs
import pytest
from test_bulk import (
    BULK,
    ENDPOINT,
    PACKET_BYTES,
    SHORT,
    WINDOW,
    datagram,
    drain,
    fill,
    make_pacer,
)

from zinniaspoke import admission, counters, pacing, steering

DATA_BYTES = 1200
ROUND_TRIP_S = 0.006


def opening(flow, retransmit_count=0):
    return steering.Packet(
        flow=flow,
        route=b"",
        kind=steering.Kind.OPENING,
        token=0,
        retransmit_count=retransmit_count,
    )


@attrs.define(kw_only=True, eq=False)
class Upload:
    """A caller that opens a flow, keeps a window in flight and repeats what is missing."""

    key: bytes
    start_s: float
    count: int
    sent: int = 0
    acknowledged: set = attrs.field(factory=set)
    done_s: float | None = None
    is_open: bool = False
    is_over: bool = False


class Calculation:
    """Callers and one entry VM's link; answers come back after a round trip."""

    def __init__(self, *, link_bytes_per_s, is_bulk, is_way_in_narrow):
        self.way_in_s_per_byte = 1.0 / link_bytes_per_s if is_way_in_narrow else 0.0
        self.way_in_idle_s = 0.0
        self.way_in_lost = 0
        self.counts = counters.Counters()
        self.pacer = pacing.Pacer(bytes_per_s=link_bytes_per_s, counts=self.counts)
        self.admission = admission.Admission(pacer=self.pacer, counts=self.counts)
        self.is_bulk = is_bulk
        self.agenda = []
        self.ticket = 0
        self.delays = {}
        self.uploads = {}
        self.order = {}
        self.peak_bytes = 0
        self.is_drain_due = False

    def at(self, time_s, step, *arguments):
        self.ticket += 1
        heapq.heappush(self.agenda, (time_s, self.ticket, step, arguments))

    def run(self):
        while self.agenda:
            now_s, _, step, arguments = heapq.heappop(self.agenda)
            step(*arguments, now_s)

    def arrive(self, made, now_s):
        """A packet on its way in, whose queue drops what would wait longer than 0.3 s."""
        if self.way_in_idle_s - now_s > 0.3:
            self.way_in_lost += 1
            return
        duration_s = made.wire_bytes * self.way_in_s_per_byte
        self.way_in_idle_s = max(self.way_in_idle_s, now_s) + duration_s
        self.at(self.way_in_idle_s, self.submit, made)

    def submit(self, made, now_s):
        if self.pacer.submit(made, now_s):
            self.carry(made, now_s)
        self.peak_bytes = max(self.peak_bytes, self.pacer.queued_bytes)
        self.plan_drain(now_s)

    def plan_drain(self, now_s):
        if self.pacer and not self.is_drain_due:
            self.is_drain_due = True
            self.at(max(now_s + 1e-4, self.pacer.next_send_s), self.drain)

    def drain(self, now_s):
        self.is_drain_due = False
        for made in self.pacer.take_due(now_s):
            self.carry(made, now_s)
        self.release(now_s)
        self.plan_drain(now_s)

    def carry(self, made, now_s):
        self.order.setdefault(made.flow, []).append(made.sequence)
        if made.flow in self.uploads:
            if made.sequence is not None:
                upload = self.uploads[made.flow]
                self.at(now_s + ROUND_TRIP_S, self.acknowledge, upload, made.sequence)
        else:
            self.delays[made.flow] += now_s

    # Short requests

    def add_short(self, key, start_s):
        self.delays[key] = -start_s
        rule = SHORT if self.is_bulk else None
        made = pacing.Datagram(data=bytes(900), endpoint=ENDPOINT, flow=key, sequence=0, rule=rule)
        self.at(start_s, self.arrive, made)

    # Uploads

    def add_upload(self, upload):
        self.uploads[upload.key] = upload
        for number, after_s in enumerate(steering.RETRANSMIT_TIMES_S):
            self.at(upload.start_s + after_s, self.open, upload, number)
        self.at(upload.start_s + steering.CONNECT_TIMEOUT_S, self.time_out, upload)
        self.at(upload.start_s + BULK.deadline_s, self.give_up, upload)

    def open(self, upload, number, now_s):
        if upload.is_open or upload.is_over:
            return
        if not self.is_bulk:
            self.opened(upload, now_s)
            return
        decision = self.admission.consider(opening(upload.key, number), BULK, now_s)
        if decision is None:
            self.opened(upload, now_s)
        elif decision is admission.REFUSED_NO_ROOM:
            upload.is_over = True
        self.at(now_s + 0.1, self.release)

    def release(self, now_s):
        released, refused = self.admission.take_released(now_s)
        for packet in released:
            self.opened(self.uploads[packet.flow], now_s)
        for packet in refused:
            self.uploads[packet.flow].is_over = True
        if self.admission:
            self.at(now_s + 0.1, self.release) if not self.pacer else None

    def opened(self, upload, now_s):
        upload.is_open = True
        self.at(now_s + ROUND_TRIP_S, self.fill_window, upload)

    def time_out(self, upload, now_s):
        if not upload.is_open:
            upload.is_over = True
            self.admission.cancel(upload.key)

    def give_up(self, upload, now_s):
        if upload.done_s is None:
            upload.is_over = True
            self.pacer.cancel(upload.key)

    def fill_window(self, upload, now_s):
        while upload.sent < upload.count and upload.sent - len(upload.acknowledged) < WINDOW:
            upload.sent += 1
            self.transmit(upload, upload.sent - 1, 0.2, now_s)

    def transmit(self, upload, number, interval_s, now_s):
        if upload.is_over or number in upload.acknowledged:
            return
        self.arrive(self.make(upload, number), now_s)
        repeat_s = min(1.6, 2 * interval_s)
        self.at(now_s + interval_s, self.transmit, upload, number, repeat_s)

    def make(self, upload, number):
        size = PACKET_BYTES if number is not None else 42
        return pacing.Datagram(
            data=bytes(size),
            endpoint=ENDPOINT,
            flow=upload.key,
            sequence=number,
            rule=BULK if self.is_bulk else None,
            ends_flow=number is None,
        )

    def acknowledge(self, upload, number, now_s):
        if upload.is_over:
            return
        upload.acknowledged.add(number)
        if len(upload.acknowledged) == upload.count and upload.done_s is None:
            upload.done_s = now_s - upload.start_s
            self.arrive(self.make(upload, None), now_s)
        self.fill_window(upload, now_s)


def play_burst(*, is_bulk, seed, link_bytes_per_s, load=0.42, is_way_in_narrow=False):
    """A burst of 2.5 times the usual uploads for 5.7 s, beside short requests."""
    rng = random.Random(seed)
    played = Calculation(
        link_bytes_per_s=link_bytes_per_s, is_bulk=is_bulk, is_way_in_narrow=is_way_in_narrow
    )
    mean_bytes = 80_000 * (PACKET_BYTES + pacing.HEADER_BYTES) / DATA_BYTES
    usual_per_s = load * link_bytes_per_s * pacing.PACED_SHARE / mean_bytes
    now_s = 0.0
    while now_s < 22.0:
        is_burst = 6.0 <= now_s < 11.7
        now_s += rng.expovariate(usual_per_s * (2.5 if is_burst else 1.0))
        # From 40 to 240 KB, 80 KB in the mean.
        size = min(240_000, 40_000 + rng.expovariate(1 / 42_000))
        key = b"u%d" % len(played.uploads)
        count = max(1, round(size / DATA_BYTES))
        played.add_upload(Upload(key=key, start_s=now_s, count=count))
    number = 0
    now_s = 0.0
    while now_s < 22.0:
        now_s += rng.expovariate(6.0)
        played.add_short(b"short%d" % number, now_s)
        number += 1
    played.run()
    return played


def tally(played):
    done = [u.done_s for u in played.uploads.values() if u.done_s is not None]
    in_time = sum(done_s <= BULK.aim_s for done_s in done)
    return in_time, len(done), len(played.uploads)


def percentile(values, share):
    return sorted(values)[int(share * (len(values) - 1))]


def play_seeds(*, is_bulk, count=6, **values):
    """Returns the sums of uploads in time, done and begun, delays of short requests, and plays."""
    plays = [play_burst(is_bulk=is_bulk, seed=seed, **values) for seed in range(count)]
    sums = [sum(column) for column in zip(*(tally(played) for played in plays), strict=True)]
    delays = [delay_s for played in plays for delay_s in played.delays.values()]
    return sums, delays, plays


@pytest.mark.parametrize("link_mbps", [2.0, 3.4])
@pytest.mark.parametrize("load", [0.42, 0.6])
def test_most_uploads_of_a_burst_are_in_time(link_mbps, load):
    """Load: uploads of 40 to 240 KB, 2.5 times as many as usual, beside short requests.

    The burst asks for 1.05 and for 1.5 times what a link of 2 or 3.4 Mbit/s carries.
    """
    values = {"link_bytes_per_s": link_mbps * 125_000, "load": load}
    fair, fair_delays, _ = play_seeds(is_bulk=False, **values)
    found, delays, plays = play_seeds(is_bulk=True, **values)
    assert found[2] == fair[2]
    late_share = (found[2] - found[0]) / found[2]
    fair_late_share = (fair[2] - fair[0]) / fair[2]
    assert late_share < 0.6 * fair_late_share
    assert found[1] >= fair[1]
    # Short requests wait for what is on the link already, not for uploads.
    datagram_s = (PACKET_BYTES + pacing.HEADER_BYTES) / values["link_bytes_per_s"]
    assert percentile(delays, 0.99) <= percentile(fair_delays, 0.99) + datagram_s
    for played in plays:
        assert played.peak_bytes <= pacing.QUEUE_LIMIT_BYTES
        assert not played.admission
        for key, upload in played.uploads.items():
            if upload.done_s is not None:
                sent = [number for number in played.order[key] if number is not None]
                assert sorted(set(sent)) == list(range(upload.count))


@pytest.mark.parametrize("link_mbps", [2.0, 3.4])
def test_holding_keeps_copies_off_a_way_in_that_is_as_narrow(link_mbps):
    """Load: as above, where packets inwards queue too and repetitions feed the overload."""
    values = {"link_bytes_per_s": link_mbps * 125_000, "load": 0.5, "is_way_in_narrow": True}
    fair, _, _ = play_seeds(is_bulk=False, **values)
    found, _, _ = play_seeds(is_bulk=True, **values)
    assert found[0] > 1.1 * fair[0]
    assert found[1] > fair[1]


# Admission


def make_admission(link_bytes_per_s=200_000.0):
    pacer = make_pacer(link_bytes_per_s)
    counts = counters.Counters()
    return admission.Admission(pacer=pacer, counts=counts), pacer, counts


def test_idle_link_admits_at_once_and_copies_pass():
    admitted, _, _ = make_admission()
    assert admitted.consider(opening(b"a"), BULK, 0.0) is None
    assert admitted.consider(opening(b"a", 1), BULK, 0.2) is None
    assert not admitted


def test_second_upload_is_held_and_goes_on_when_the_first_has_ended():
    admitted, pacer, _ = make_admission()
    admitted.consider(opening(b"a"), BULK, 0.0)
    fill(pacer, b"a", WINDOW, BULK, 0.01)
    assert admitted.consider(opening(b"b"), BULK, 0.02) is admission.HELD
    copy = opening(b"b", 1)
    assert admitted.consider(copy, BULK, 0.22) is admission.HELD
    assert admitted.take_released(0.05) == ([], [])
    drain(pacer, 0.05)
    pacer.submit(datagram(b"a", None, BULK, size=42, ends_flow=True), 0.3)
    assert admitted.take_released(0.31) == ([copy], [])
    assert not admitted


def test_held_opening_goes_on_before_its_caller_times_out():
    """Load: the link stays full for longer than callers wait for an answer."""
    admitted, pacer, _ = make_admission()
    admitted.consider(opening(b"a"), BULK, 0.0)
    fill(pacer, b"a", WINDOW, BULK, 0.01)
    waiting = opening(b"b")
    admitted.consider(waiting, BULK, 0.02)
    limit_s = 0.02 + steering.CONNECT_TIMEOUT_S - admission.HANDSHAKE_S
    for step in range(20):
        now_s = 0.05 + 0.05 * step
        fill(pacer, b"a", WINDOW, BULK, now_s)
        assert now_s > limit_s or admitted.take_released(now_s) == ([], [])
    assert admitted.take_released(limit_s) == ([waiting], [])


def learn_size(pacer, size_count, now_s=0.0):
    flow = pacer.bulk_flows.add(b"known", BULK, now_s, now_s)
    flow.carried_bytes = size_count
    pacer.bulk_flows.finish(b"known", is_whole=True)


def test_opening_that_cannot_make_its_deadline_is_refused_at_once():
    """Load: a link of 2 Mbit/s with uploads of 2 MB known ahead of an opening."""
    admitted, pacer, counts = make_admission()
    learn_size(pacer, 1_000_000)
    assert admitted.consider(opening(b"a"), BULK, 0.0) is None
    fill(pacer, b"a", WINDOW, BULK, 0.01)
    assert admitted.consider(opening(b"b"), BULK, 0.02) is admission.REFUSED_NO_ROOM
    assert b"b" not in pacer.bulk_flows
    assert not admitted
    assert counts.events["bulk_openings_refused"] == 1


def test_refusal_never_follows_an_admission():
    """A refusal promises that nothing ran: a copy of an admitted opening is never refused."""
    admitted, pacer, _ = make_admission()
    admitted.consider(opening(b"a"), BULK, 0.0)
    learn_size(pacer, 10_000_000)
    assert admitted.consider(opening(b"a", 1), BULK, 0.2) is None
    assert admitted.consider(opening(b"a", 2), BULK, 0.6) is None


def test_copy_whose_first_went_elsewhere_is_never_refused():
    """Failure: routers change their hash while a caller opens; its first copy may be answered."""
    admitted, pacer, counts = make_admission()
    learn_size(pacer, 1_000_000)
    admitted.consider(opening(b"a"), BULK, 0.0)
    fill(pacer, b"a", WINDOW, BULK, 0.01)
    waiting = opening(b"b", 1)
    assert admitted.consider(waiting, BULK, 0.02) is admission.HELD
    for number in range(2, admission.HELD_LIMIT + 5):
        assert admitted.consider(opening(b"%d" % number, 1), BULK, 0.02) in (None, admission.HELD)
    released, refused = admitted.take_released(1.1)
    assert waiting in released
    assert refused == []
    assert counts.events["bulk_openings_refused"] == 0


def test_caller_that_gives_up_is_not_held_any_longer():
    admitted, pacer, _ = make_admission()
    admitted.consider(opening(b"a"), BULK, 0.0)
    fill(pacer, b"a", WINDOW, BULK, 0.01)
    admitted.consider(opening(b"b"), BULK, 0.02)
    admitted.cancel(b"b")
    assert not admitted
    assert admitted.take_released(5.0) == ([], [])


def test_opening_whose_caller_timed_out_is_neither_forwarded_nor_refused():
    """Failure: this VM stood still while an opening was held."""
    admitted, pacer, counts = make_admission()
    admitted.consider(opening(b"a"), BULK, 0.0)
    fill(pacer, b"a", WINDOW, BULK, 0.01)
    admitted.consider(opening(b"b"), BULK, 0.02)
    drain(pacer, 0.02)
    assert admitted.take_released(0.02 + steering.CONNECT_TIMEOUT_S) == ([], [])
    assert not admitted
    assert b"b" not in pacer.bulk_flows
    assert counts.drops[steering.DROPPED_WAITED_TOO_LONG.reason] == 1


def test_number_of_held_openings_is_bounded():
    """Load: all callers of a site come to one entry VM."""
    admitted, pacer, _ = make_admission()
    admitted.consider(opening(b"a"), BULK, 0.0)
    fill(pacer, b"a", WINDOW, BULK, 0.01)
    decisions = [
        admitted.consider(opening(b"%d" % number), BULK, 0.02)
        for number in range(admission.HELD_LIMIT + 5)
    ]
    assert decisions.count(admission.HELD) == len(admitted) == admission.HELD_LIMIT


def test_link_is_described_at_most_once_a_second_and_only_while_bulk_waits():
    admitted, pacer, counts = make_admission()
    assert admitted.take_summary(10.0) is None
    admitted.consider(opening(b"a"), BULK, 10.0)
    fill(pacer, b"a", WINDOW, BULK, 10.01)
    admitted.consider(opening(b"b"), BULK, 10.02)
    counts.events["link_bytes_bulk"] += 3810
    text = admitted.take_summary(11.0)
    assert "3810 bytes of bulk and 0 others" in text
    assert f"{pacer.bulk_bytes} bytes and 1 openings of bulk wait" in text
    assert admitted.take_summary(11.9) is None
    assert "0 bytes of bulk and 0 others sent in 1.0 s" in admitted.take_summary(12.0)


@pytest.mark.parametrize("copies", [(), (1,), (2,), (1, 1), (1, 9), (1, 2)])
def test_held_opening_is_refused_late_only_if_no_copy_can_have_gone_elsewhere(copies):
    """Failure: routers change their hash while an opening is held.

    The copy that is missing here may have opened the flow through another entry VM.
    """
    admitted, pacer, _ = make_admission()
    admitted.consider(opening(b"a"), BULK, 0.0)
    fill(pacer, b"a", WINDOW, BULK, 0.01)
    last = opening(b"b")
    assert admitted.consider(last, BULK, 0.02) is admission.HELD
    for count in copies:
        last = opening(b"b", count)
        now_s = 0.02 + steering.RETRANSMIT_TIMES_S[min(count, 2)]
        assert admitted.consider(last, BULK, now_s) is admission.HELD
    # Uploads on this link turn out to be far larger than known when it was held.
    learn_size(pacer, 10_000_000)
    limit_s = 0.02 + steering.CONNECT_TIMEOUT_S - admission.HANDSHAKE_S
    fill(pacer, b"a", WINDOW, BULK, limit_s)
    expected = ([], [last]) if copies == (1, 2) else ([last], [])
    assert admitted.take_released(limit_s) == expected


def test_held_openings_are_not_put_in_order_for_every_packet(monkeypatch):
    """Load: 200 openings are held while short requests come on a link that is idle just now."""
    admitted, pacer, _ = make_admission()
    admitted.consider(opening(b"a"), BULK, -0.5)
    fill(pacer, b"a", WINDOW, BULK, 0.01)
    for number in range(admission.HELD_LIMIT):
        admitted.consider(opening(b"%d" % number, 1), BULK, 0.02)
    drain(pacer, 0.02)
    now_s = pacer.bulk_flows.get(b"a").active_s
    looks = []
    order = pacer.bulk_flows.order
    monkeypatch.setattr(pacer, "bulk_flows", Counted(pacer.bulk_flows, looks, order))
    for number in range(100):
        assert admitted.take_released(now_s + 0.0002 * number) == ([], [])
    assert 1 <= len(looks) <= 1 + 0.02 / admission.IDLE_LOOK_INTERVAL_S


class Counted:
    """Passes everything on and notes when the order of flows is made."""

    def __init__(self, flows, looks, order):
        self._flows = flows
        self._looks = looks
        self._order = order

    def __getattr__(self, name):
        return getattr(self._flows, name)

    def order(self, *arguments):
        self._looks.append(arguments)
        return self._order(*arguments)
