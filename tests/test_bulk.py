"""Bulk flows beside urgent work on a narrow link: order, copies, ends and bounds."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import bulk, counters, pacing, rules

SHORT_RULE = "198.18.0.1:80 tcp shop urgency=1 # test"
BULK_RULE = "198.18.0.1:81 tcp intake class=long aim_s=2.1 deadline_s=8.4 # test"
ENDPOINT = ("10.0.0.1", 80)
PACKET_BYTES = 1242
WINDOW = 16


def make_rule(text):
    return next(iter(rules.parse(1, text.encode()).rules.values()))


SHORT = make_rule(SHORT_RULE)
BULK = make_rule(BULK_RULE)


def datagram(flow, sequence=None, rule=None, size=PACKET_BYTES, **values):
    return pacing.Datagram(
        data=bytes(size), endpoint=ENDPOINT, flow=flow, sequence=sequence, rule=rule, **values
    )


def make_pacer(link_bytes_per_s=250_000.0):
    return pacing.Pacer(bytes_per_s=link_bytes_per_s, counts=counters.Counters())


def fill(pacer, flow, count, rule, now_s=0.0):
    for number in range(count):
        pacer.submit(datagram(flow, number, rule), now_s)


def drain(pacer, now_s=0.0, until_s=1e9):
    sent = []
    while pacer and pacer.next_send_s < until_s:
        now_s = max(now_s, pacer.next_send_s)
        sent += pacer.take_due(now_s)
    return sent


def test_more_urgent_work_is_sent_first():
    """Load: requests of three urgencies wait for the link at once."""
    pacer = make_pacer()
    fill(pacer, b"first", 4, None)
    for urgency in (5, 0, 2):
        rule = make_rule(f"198.18.0.1:80 tcp shop urgency={urgency} # test")
        fill(pacer, b"u%d" % urgency, 3, rule)
    order = [made.flow for made in drain(pacer) if made.flow != b"first"]
    assert order == [b"u0"] * 3 + [b"u2"] * 3 + [b"u5"] * 3


def test_bulk_gets_its_part_while_urgent_work_saturates_the_link():
    """Load: urgent work of twice what the link carries, beside one upload."""
    pacer = make_pacer()
    fill(pacer, b"bulk", WINDOW, BULK)
    sent = []
    now_s = 0.0
    for number in range(400):
        now_s += 0.0025
        pacer.submit(datagram(b"short%d" % number, 0, SHORT), now_s)
        for made in pacer.take_due(now_s):
            sent.append(made)
            if made.flow == b"bulk":
                fresh = datagram(b"bulk", made.sequence + WINDOW, BULK)
                pacer.submit(fresh, now_s)
    bulk_bytes = sum(made.wire_bytes for made in sent if made.is_bulk)
    share = bulk_bytes / sum(made.wire_bytes for made in sent)
    assert share == pytest.approx(pacing.BULK_SHARE, abs=0.05)
    gaps = "".join("b" if made.is_bulk else "s" for made in sent[WINDOW:])
    assert "bb" not in gaps


def test_uploads_are_carried_one_after_the_other():
    """Load: four uploads wait at once; all are in time if carried whole."""
    pacer = make_pacer()
    pacer.submit(datagram(b"x"), 0.0)
    for number in range(4):
        fill(pacer, b"u%d" % number, WINDOW, BULK, 0.001 * number)
    order = [made.flow for made in drain(pacer, 0.01) if made.rule is not None]
    changes = sum(one != other for one, other in zip(order, order[1:], strict=False))
    assert changes <= 4


def test_copy_replaces_the_waiting_one_of_a_bulk_flow():
    pacer = make_pacer()
    fill(pacer, b"u", WINDOW, BULK)
    before_bytes = pacer.queued_bytes
    fresh = datagram(b"u", 9, BULK)
    pacer.submit(fresh, 0.2)
    assert pacer.queued_bytes == pacer.bulk_bytes == before_bytes
    sent = drain(pacer, 0.2)
    assert [made.sequence for made in sent].count(9) == 1
    assert fresh in sent


def test_reset_discards_a_bulk_flow_whole():
    pacer = make_pacer()
    fill(pacer, b"a", WINDOW, BULK)
    fill(pacer, b"b", 4, BULK)
    pacer.cancel(b"a")
    assert b"a" not in pacer.bulk_flows
    assert {made.flow for made in drain(pacer)} == {b"b"}
    assert (pacer.queued_bytes, pacer.bulk_bytes) == (0, 0)


def test_full_queue_drops_bulk_before_urgent_work():
    """Load: more open uploads than the queue holds, beside short requests."""
    pacer = make_pacer()
    fill(pacer, b"first", 4, None)
    for number in range(20):
        pacer.submit(datagram(b"short%d" % number, 0, SHORT), 0.0)
    for number in range(60):
        fill(pacer, b"u%d" % number, WINDOW, BULK)
        assert pacer.queued_bytes <= pacing.QUEUE_LIMIT_BYTES
    sent = drain(pacer)
    assert sum(made.flow.startswith(b"short") for made in sent) == 20


def test_flow_keeps_its_order_when_its_rule_becomes_bulk():
    pacer = make_pacer()
    plain = make_rule("198.18.0.1:81 tcp intake # test")
    fill(pacer, b"u", 8, plain)
    pacer.submit(datagram(b"other", 0, SHORT), 0.0)
    for number in range(8, 12):
        pacer.submit(datagram(b"u", number, BULK), 0.0)
    order = [made.sequence for made in drain(pacer) if made.flow == b"u"]
    assert order == sorted(order)
    assert (pacer.queued_bytes, pacer.bulk_bytes) == (0, 0)


def test_route_that_is_removed_while_its_upload_waits_harms_nothing():
    """Failure: a manifest takes the route away; the flow's packets come without a rule."""
    pacer = make_pacer()
    fill(pacer, b"first", 3, None)
    pacer.submit(datagram(b"u", 0, BULK), 0.0)
    pacer.submit(datagram(b"u", None, BULK, size=42, ends_flow=True), 0.0)
    first = [made for _ in range(8) for made in pacer.take_due(max(0.0, pacer.next_send_s))]
    assert b"u" in [made.flow for made in first]
    fill(pacer, b"other", 3, None, 0.1)
    pacer.submit(datagram(b"u", 1, None), 0.1)
    sent = drain(pacer, 0.2)
    assert [made.flow for made in sent].count(b"u") == 1
    assert (pacer.queued_bytes, pacer.bulk_bytes) == (0, 0)


RULES = (None, SHORT, BULK, make_rule("198.18.0.1:82 tcp shop urgency=0 # test"))


@given(
    submitted=st.lists(
        st.tuples(
            st.sampled_from([b"a", b"b", b"c", b"d", b"e"]),
            st.integers(0, 20) | st.none(),
            st.sampled_from(RULES),
            st.sampled_from(["send", "send", "send", "open", "end", "reset"]),
            st.floats(0.0, 0.3),
        ),
        max_size=60,
    )
)
def test_any_traffic_leaves_once_and_the_counts_stay_true(submitted):
    """Rules change under open flows, flows end and are reset while datagrams of them wait."""
    counts = counters.Counters()
    pacer = pacing.Pacer(bytes_per_s=20_000.0, counts=counts)
    now_s = 0.0
    sent = []
    for flow, sequence, rule, step, gap_s in submitted:
        now_s += gap_s
        sent += pacer.take_due(now_s)
        if step == "reset":
            pacer.cancel(flow)
        made = datagram(
            flow, sequence, rule, 900, is_opening=step == "open", ends_flow=step == "end"
        )
        if pacer.submit(made, now_s):
            sent.append(made)
        queues = pacer._queues.values()
        waiting_bytes = sum(queue.size_bytes for queue in queues)
        assert pacer.queued_bytes == waiting_bytes + sum(
            waiting.wire_bytes for waiting in pacer._openings
        )
        assert pacer.bulk_bytes == sum(q.size_bytes for q in queues if q.turns is None)
    sent += drain(pacer, now_s)
    assert (pacer.queued_bytes, pacer.bulk_bytes) == (0, 0)
    assert len({id(made) for made in sent}) == len(sent)
    lost = sum(counts.drops.values()) + counts.events["copies_replaced"]
    if all(step[3] != "reset" for step in submitted):
        assert len(sent) + lost == len(submitted)


def test_records_of_flows_that_end_unseen_are_forgotten():
    """Load: entry VMs restart, so most flows here never show their end."""
    flows = bulk.BulkFlows()
    for number in range(2 * bulk.FLOW_LIMIT):
        flows.add(b"%d" % number, BULK, 0.0, 0.0)
    assert len(flows) == bulk.FLOW_LIMIT
    flows.remove_idle(bulk.IDLE_LIMIT_S + 0.1)
    assert not len(flows)


def test_flow_whose_caller_gave_up_is_not_carried():
    """Load: the link is full for longer than callers wait; a late upload would run for nobody."""
    pacer = make_pacer()
    pacer.bulk_flows.add(b"u", BULK, 0.0, 0.0)
    fill(pacer, b"first", 2, None, 8.3)
    fill(pacer, b"u", 4, BULK, 8.3)
    sent = pacer.take_due(BULK.deadline_s + 0.1)
    assert b"u" not in [made.flow for made in sent]
    assert (pacer.queued_bytes, pacer.bulk_bytes) == (0, 0)


def test_flow_that_goes_on_after_its_deadline_is_another_request():
    """Callers may send many uploads on one flow; its age is not that of the upload."""
    pacer = make_pacer()
    pacer.bulk_flows.add(b"u", BULK, 0.0, 0.0)
    now_s = 2 * BULK.deadline_s
    fill(pacer, b"first", 2, None, now_s)
    fill(pacer, b"u", 4, BULK, now_s)
    assert [made.flow for made in drain(pacer, now_s)].count(b"u") == 4
    assert pacer.bulk_flows.get(b"u").started_s == now_s


def test_payload_after_a_pause_begins_another_request():
    pacer = make_pacer()
    pacer.submit(datagram(b"u", 0, BULK), 0.0)
    pacer.submit(datagram(b"u", 1, BULK), 0.1)
    pacer.submit(datagram(b"u", None, BULK, size=42), 0.5)
    flow = pacer.bulk_flows.get(b"u")
    assert (flow.started_s, flow.carried_bytes) == (0.0, 2 * 1270 + 70)
    pacer.submit(datagram(b"u", 2, BULK), 2.2)
    flow = pacer.bulk_flows.get(b"u")
    assert (flow.started_s, flow.carried_bytes) == (2.2, 1270)
    assert pacer.bulk_flows.remaining_bytes(flow) == 1270 + 70


# The order of bulk flows


def make_flow(key, started_s, size_bytes):
    flow = bulk.BulkFlow(key=key, rule=BULK, started_s=started_s, active_s=started_s)
    flow.waiting_bytes = size_bytes
    return flow


def test_only_what_cannot_be_in_time_gives_way():
    """Load: three uploads whose sum misses the aim: the longest is late, not all of them."""
    flows = bulk.BulkFlows()
    waiting = [
        make_flow(b"long", 0.0, 250_000),
        make_flow(b"a", 0.1, 100_000),
        make_flow(b"b", 0.2, 100_000),
    ]
    assert [f.key for f in flows.order(waiting, 125_000, 0.3)] == [b"a", b"b", b"long"]


def test_late_flow_goes_first_when_its_deadline_is_near():
    flows = bulk.BulkFlows()
    waiting = [make_flow(b"late", 0.0, 50_000), make_flow(b"new", 7.4, 50_000)]
    assert [f.key for f in flows.order(waiting, 250_000, 7.5)] == [b"late", b"new"]
    assert [f.key for f in flows.order(waiting, 250_000, 5.0)] == [b"late", b"new"]


def test_flow_past_its_deadline_goes_last():
    flows = bulk.BulkFlows()
    waiting = [make_flow(b"lost", 0.0, 50_000), make_flow(b"new", 8.5, 50_000)]
    assert [f.key for f in flows.order(waiting, 250_000, 8.6)] == [b"new", b"lost"]


def test_remaining_size_is_learnt_from_finished_flows_of_the_rule():
    sizes = bulk.Sizes()
    assert sizes.remaining_bytes(0) == 0
    for size in (40_000, 80_000, 240_000):
        sizes.record(size)
    assert sizes.remaining_bytes(0) == 120_000
    assert sizes.remaining_bytes(100_000) == 140_000
    assert sizes.remaining_bytes(240_000) == 0
    for _ in range(bulk.SAMPLE_COUNT):
        sizes.record(10)
    assert sizes.remaining_bytes(0) == 10


def test_queue_keeps_its_bound_when_large_packets_push_out_small_ones():
    """Load: uploads fill a queue that acknowledgements of a bulk flow had filled."""
    pacer = make_pacer()
    small = pacing.Datagram(data=b"", endpoint=ENDPOINT, flow=b"acks", rule=BULK)
    fill(pacer, b"first", 1, None)
    for _ in range(pacing.QUEUE_LIMIT_BYTES // small.wire_bytes):
        pacer.submit(pacing.Datagram(data=b"", endpoint=ENDPOINT, flow=b"acks", rule=BULK), 0.0)
    for number in range(1000):
        pacer.submit(datagram(b"short%d" % number, 0, SHORT), 0.0)
        assert pacer.queued_bytes <= pacing.QUEUE_LIMIT_BYTES
    assert sum(made.flow.startswith(b"short") for made in drain(pacer)) > 0


@pytest.mark.parametrize("is_waiting", [False, True])
def test_last_acknowledgement_does_not_begin_a_flow_that_has_ended(is_waiting):
    """It would count as another upload of the usual size, and openings be refused for it."""
    pacer = make_pacer()
    fill(pacer, b"a", 4, BULK)
    drain(pacer)
    pacer.submit(datagram(b"a", None, BULK, size=42, ends_flow=True), 1.0)
    assert b"a" not in pacer.bulk_flows
    if is_waiting:
        fill(pacer, b"b", 4, BULK, 1.006)
    pacer.submit(datagram(b"a", None, BULK, size=42), 1.006)
    assert [flow.key for flow in pacer.bulk_flows.active(1.01)] == [b"b"] * is_waiting
