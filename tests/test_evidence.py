"""Evidence about targets shared by the fleet: reports, verdicts, and how entry VMs use them."""

import pytest
import test_steering
from hypothesis import given, settings
from hypothesis import strategies as st

from zinniaspoke import (
    choosing,
    counters,
    errors,
    evidence,
    exchange,
    feed,
    ledger,
    observer,
)

DARK, SLOW = evidence.Kind.DARK, evidence.Kind.SLOW
ZONES = ("a", "b", "c")
ROUTE = ("ledger", b"route")
target = test_steering.target


def row(token=7, count=1, failed_s=0.0, answered_s=evidence.NEVER_S, kind=DARK):
    return evidence.Row(
        token=token, kind=kind, failure_count=count, failed_s=failed_s, answered_s=answered_s
    )


def make_ledger(zone="a"):
    return ledger.Ledger(zone_of=lambda token: zone if token < 1000 else None)


def report(held, now_s, *rows, reporter="vm-1", zone="a", sequence=1):
    made = evidence.Report(sequence=sequence, rows=rows)
    return held.receive_report(reporter, zone, made, now_s)


def judge(held, now_s):
    held.tick(now_s + ledger.VERDICT_INTERVAL_S)
    return held.verdicts


def test_many_changes_of_verdicts_are_spread_over_time():
    """Zone cut: 240 targets fail at once at all entry VMs."""
    held = make_ledger()
    for number in range(3):
        for sequence in range(20):
            rows = [row(sequence * 12 + n, failed_s=9.9) for n in range(12)]
            at_s = 10.0 + sequence * 0.2
            samples = [
                evidence.Sample(reporter=f"vm-{number}", zone="a", sequence=1, row=r) for r in rows
            ]
            held.receive_gossip(samples, at_s)
    revision, sent_bytes, now_s = 0, 0, 10.0
    while now_s < 11.5:
        held.tick(now_s)
        verdicts, revision = held.changed_since(revision)
        if verdicts:
            sent_bytes += len(feed.encode(feed.Update(number=9999, verdicts=verdicts), now_s))
        now_s += 0.04
    assert 0 < sent_bytes * 4 / 1.5 < 9000
    held.tick(11.6)
    assert len(held.verdicts) >= 60


def find(held, now_s, key=(7, DARK)):
    return judge(held, now_s).get(key)


# Ledger


def test_third_failure_reported_by_two_vms_gives_a_verdict_for_all_zones():
    held = make_ledger()
    report(held, 10.0, row(count=2, failed_s=9.8))
    assert find(held, 10.0) is None
    report(held, 10.4, row(failed_s=10.0), reporter="vm-2")
    found = find(held, 10.4)
    assert (found.zones, found.weight, found.failed_s) == ((), 3, 10.0)
    assert [v.weight for v in held.changes] == [3]


def test_reporter_that_lies_alone_ejects_nothing():
    held = make_ledger()
    for number in range(40):
        at_s = 10.0 + number * 0.4
        rows = [row(token, count=255, failed_s=at_s - 0.2) for token in range(1, 13)]
        assert report(held, at_s, *rows, sequence=number + 1)
        assert judge(held, at_s) == {}


def test_liar_beside_one_lost_packet_is_disproved_by_answers():
    held = make_ledger()
    report(held, 10.0, row(count=200, failed_s=9.9))
    report(held, 10.0, row(failed_s=9.7), reporter="vm-2")
    assert find(held, 10.0)
    report(held, 10.3, row(count=0, answered_s=10.25), reporter="vm-3")
    assert find(held, 10.3) is None


def test_failures_that_lie_far_apart_give_no_verdict():
    held = make_ledger()
    for number in range(6):
        at_s = 10.0 + number * (evidence.WINDOW_S + 0.1)
        report(held, at_s, row(failed_s=at_s - 0.1), reporter=f"vm-{number}")
        assert find(held, at_s) is None


def test_old_report_is_refused_and_a_verdict_ends_without_new_evidence():
    held = make_ledger()
    for number in range(3):
        report(held, 10.0, row(failed_s=9.9), reporter=f"vm-{number}")
    assert find(held, 10.0)
    assert find(held, 9.5 + evidence.HOLD_S)
    assert find(held, 10.1 + evidence.HOLD_S) is None
    assert held.samples() == ()
    for number in range(3):
        late = row(failed_s=9.9)
        report(held, 20.0, late, reporter=f"vm-{number}", sequence=2)
    assert held.samples() == ()
    assert find(held, 20.0) is None


def test_evidence_of_one_zone_concerns_that_zone_unless_it_is_the_targets_own():
    held = make_ledger(zone="b")
    for number in range(3):
        report(held, 10.0, row(failed_s=9.9), reporter=f"vm-{number}", zone="a")
    assert find(held, 10.0).zones == ("a",)
    report(held, 10.4, row(failed_s=10.1), reporter="vm-9", zone="b")
    assert find(held, 10.4).zones == ()
    report(held, 10.8, row(count=0, answered_s=10.5), reporter="vm-8", zone="b")
    assert find(held, 10.8).zones == ("a",)


def test_verdict_is_withdrawn_after_an_answer_and_subscribers_are_told_once():
    held = make_ledger()
    for number in range(3):
        report(held, 10.0, row(failed_s=9.9), reporter=f"vm-{number}")
    assert find(held, 10.0)
    changes, revision = held.changed_since(0)
    assert [v.weight for v in changes] == [3]
    report(held, 11.0, row(count=0, answered_s=10.9), reporter="vm-1", sequence=2)
    assert find(held, 11.0) is None
    changes, revision = held.changed_since(revision)
    assert [v.weight for v in changes] == [0]
    assert held.changed_since(revision) == ((), revision)


def test_few_reporters_are_named_to_try_the_target():
    held = make_ledger()
    for number in range(12):
        report(held, 10.0, row(failed_s=9.9), reporter=f"vm-{number}")
    found = find(held, 10.0)
    assert len(found.probers) == ledger.PROBER_COUNT
    assert set(found.probers) <= {evidence.prober_id(f"vm-{n}") for n in range(12)}


def test_unknown_targets_and_too_many_rows_are_refused():
    held = make_ledger()
    report(held, 10.0, row(token=5000, failed_s=9.9))
    assert held.samples() == ()
    for number in range(400):
        rows = [row(token, failed_s=9.9) for token in range(1, 13)]
        report(held, 10.0, *rows, reporter=f"vm-{number}")
    assert len(held.samples()) <= ledger.SAMPLE_LIMIT
    assert all(len(k) <= ledger.REPORTERS_PER_TARGET for k in held._samples.values())


def test_reporter_that_floods_is_not_listened_to():
    held = make_ledger()
    assert report(held, 10.0, row(failed_s=9.9))
    assert not report(held, 10.01, row(failed_s=9.9), sequence=2)


EVENTS = st.lists(
    st.tuples(
        st.integers(0, 5),  # reporter
        st.integers(1, 3),  # target
        st.sampled_from((DARK, SLOW)),
        st.integers(0, 4),  # failures
        st.floats(0.0, 2.0),  # failed before
        st.none() | st.floats(0.0, 2.0),  # answered before
    ),
    max_size=25,
)


@settings(max_examples=150, deadline=None)
@given(EVENTS, st.randoms(use_true_random=False))
def test_ledgers_agree_whatever_the_order_and_repetition_of_samples(events_, rng):
    samples = []
    for number, (reporter, token, kind, count, failed_s, answered_s) in enumerate(events_):
        at_s = evidence.NEVER_S if answered_s is None else 10.0 - answered_s
        samples.append(
            evidence.Sample(
                reporter=f"vm-{reporter}",
                zone=ZONES[reporter % 3],
                sequence=number,
                row=row(token, count, 10.0 - failed_s if count else evidence.NEVER_S, at_s, kind),
            )
        )
    first, second = make_ledger(), make_ledger()
    first.receive_gossip(samples, 10.0)
    shuffled = samples + rng.sample(samples, len(samples) // 2)
    rng.shuffle(shuffled)
    second.receive_gossip(shuffled, 10.0)
    assert judge(first, 10.0) == judge(second, 10.0)
    for (token, kind), verdict in first.verdicts.items():
        # A row without any time says nothing and is refused.
        timed = [s for s in samples if s.row.newest_s > 0.0 and s.row.key == (token, kind)]
        newest = {s.reporter: s for s in timed}
        assert len([s for s in newest.values() if s.row.failure_count]) >= 2
        assert verdict.weight >= ledger.FAILURE_THRESHOLD


@settings(max_examples=50, deadline=None)
@given(EVENTS, st.sets(st.integers(0, 25)))
def test_lost_reports_leave_no_verdict_for_longer_than_evidence_is_held(events_, lost):
    held = make_ledger()
    for number, (reporter, token, kind, count, failed_s, _) in enumerate(events_):
        if number in lost:
            continue
        seen = row(token, count, 10.0 - failed_s, kind=kind)
        made = evidence.Report(sequence=number, rows=(seen,))
        held.receive_report(f"vm-{reporter}", "a", made, 10.0 + number)
        judge(held, 10.0 + number)
    judge(held, 40.0 + evidence.HOLD_S)
    assert held.verdicts == {}
    assert held.samples() == ()


# Observer


def make_observer():
    return observer.Observer(counts=counters.Counters())


def test_failure_is_reported_once_a_target_was_heard_after_it():
    seer = make_observer()
    seer.record_failure(7, 10.0, 10.2)
    assert seer.take_report((), 10.2) is None
    seer.record_answer(8, 10.25)
    sent = seer.take_report((), 10.3)
    assert [(r.token, r.failure_count, r.failed_s) for r in sent.rows] == [(7, 1, 10.0)]
    assert seer.take_report((), 11.0) is None


def test_failure_is_dropped_if_no_target_is_heard_soon():
    seer = make_observer()
    seer.record_failure(7, 10.0, 10.2)
    assert seer.take_report((), 10.6) is None
    seer.record_answer(8, 12.0)
    assert seer.take_report((), 12.1) is None


def test_failures_before_an_interruption_prove_nothing():
    seer = make_observer()
    seer.record_interruption(10.1)
    seer.record_failure(7, 10.0, 10.2)
    seer.record_answer(8, 10.25)
    assert seer.take_report((), 10.3) is None


def test_reports_keep_their_interval_and_their_size():
    seer = make_observer()
    for token in range(1, 241):
        seer.record_failure(token, 10.0, 10.2)
    seer.record_answer(999, 10.25)
    now_s, seen = 10.3, set()
    # What cannot be told within the time for which evidence is held is dropped.
    told_count = int((evidence.HOLD_S - 0.3) / 0.351) * evidence.ROWS_PER_REPORT
    while (sent := seer.take_report((), now_s)) is not None:
        assert len(sent.rows) <= evidence.ROWS_PER_REPORT
        # With two copies: below 9 KB/s a VM, all other control included.
        assert len(sent.encode(now_s)) * 2 / evidence.REPORT_INTERVAL_S < 2_500
        seen |= {r.token for r in sent.rows}
        assert seer.take_report((), now_s + 0.1) is None
        now_s += evidence.REPORT_INTERVAL_S + 0.001
    assert told_count <= len(seen) <= 240
    assert len(seer._seen) <= 1


def test_answer_that_disproves_a_verdict_is_reported_once():
    seer = make_observer()
    verdict = evidence.Verdict(token=7, kind=DARK, failed_s=10.0, weight=3)
    seer.record_answer(7, 9.0)
    assert seer.take_report((verdict,), 10.4) is None
    seer.record_answer(7, 10.5)
    sent = seer.take_report((verdict,), 10.6)
    assert [(r.token, r.failure_count) for r in sent.rows] == [(7, 0)]
    assert seer.take_report((verdict,), 11.1) is None


def test_response_is_slow_only_against_its_own_service_and_route():
    seer = make_observer()
    heavy = ("ledger", b"heavy")
    for number in range(40):
        seer.record_duration(1, ROUTE, 10.0, 10.05)
        seer.record_duration(2, heavy, 10.0, 10.8 + number * 0.01)
    seer.record_answer(1, 10.9)
    assert seer.take_report((), 11.0) is None
    seer.record_duration(3, ROUTE, 11.0, 11.4)
    seer.record_answer(1, 11.5)
    sent = seer.take_report((), 11.5)
    assert [(r.token, r.kind) for r in sent.rows] == [(3, SLOW)]


# Use


def make_exchange(*verdicts, name="vm-1", zone="a", heard=("c1:1",)):
    shared = exchange.Exchange(name=name, zone=zone)
    shared.refresh(heard, 10.0)
    shared.apply("c1:1", verdicts, 10.0)
    return shared


def make_loads(count):
    return [choosing.Load(target=target(n)) for n in range(1, count + 1)]


def on(load, kind=DARK, **fields):
    values = {"failed_s": 9.9, "weight": 3, **fields}
    return evidence.Verdict(token=load.target.token, kind=kind, **values)


def test_target_under_verdict_is_avoided_and_half_of_all_stay_in_use():
    loads = make_loads(10)
    shared = make_exchange(on(loads[0]))
    assert shared.usable(loads, 10.0, may_probe=True) == loads[1:]
    shared = make_exchange(*(on(load, weight=n + 3) for n, load in enumerate(loads)))
    left = shared.usable(loads, 10.0, may_probe=True)
    assert left == loads[:5]
    assert shared.ejected_share == 0.5
    assert shared.usable(loads[:1], 10.0, may_probe=True) == loads[:1]


def test_dark_targets_are_excluded_before_slow_ones():
    loads = make_loads(2)
    shared = make_exchange(on(loads[0], SLOW, weight=200), on(loads[1]))
    assert shared.usable(loads, 10.0, may_probe=True) == loads[:1]


def test_slow_targets_are_used_when_the_others_are_full():
    loads = make_loads(2)
    shared = make_exchange(on(loads[0], SLOW))
    assert shared.usable(loads, 10.0, may_probe=False) == loads[1:]
    loads[1].in_flight_count = loads[1].in_flight_limit
    assert shared.usable(loads, 10.0, may_probe=False) == loads


def test_own_newer_answer_overrides_a_verdict():
    loads = make_loads(4)
    shared = make_exchange(on(loads[0]))
    shared.observer.record_answer(loads[0].target.token, 10.0)
    assert shared.usable(loads, 10.0, may_probe=True) == loads


def test_named_vm_tries_the_target_once_its_own_suspicion_ends():
    loads = make_loads(4)
    loads[0].record_failure(9.9, 10.0)
    shared = make_exchange(on(loads[0], probers=(evidence.prober_id("vm-1"),)))
    assert shared.usable(loads, 10.5, may_probe=True) == loads[1:]
    assert shared.usable(loads, 11.1, may_probe=False) == loads[1:]
    assert shared.usable(loads, 11.1, may_probe=True) == loads[:1]
    loads[0].record_placement(11.1)
    assert shared.usable(loads, 11.2, may_probe=True) == loads[1:]


def test_verdict_of_another_zone_is_not_followed():
    loads = make_loads(4)
    shared = make_exchange(on(loads[0], zones=("b", "c")))
    assert shared.usable(loads, 10.0, may_probe=True) == loads


def test_verdict_needs_half_of_the_control_vms_that_are_heard():
    loads = make_loads(4)
    shared = make_exchange(on(loads[0]), heard=("c1:1", "c2:1", "c3:1"))
    assert shared.usable(loads, 10.0, may_probe=True) == loads
    shared.apply("c2:1", [on(loads[0])], 10.0)
    assert shared.usable(loads, 10.0, may_probe=True) == loads[1:]
    shared.forget("c1:1")
    shared.refresh(("c2:1", "c3:1"), 10.0)
    assert shared.usable(loads, 10.0, may_probe=True) == loads[1:]


def test_verdict_expires_at_the_entry_vm_if_no_control_vm_speaks_any_more():
    loads = make_loads(4)
    shared = make_exchange(on(loads[0]))
    assert shared.usable(loads, 10.0 + evidence.HOLD_S, may_probe=True) == loads


# Codec


def test_report_and_verdicts_round_trip():
    made = evidence.Report(sequence=3, rows=(row(count=2, failed_s=9.5, answered_s=9.0),))
    assert evidence.Report.decode(made.encode(10.0), "vm", 10.0) == made
    sample = evidence.Sample(reporter="vm-1", zone="a", sequence=3, row=made.rows[0])
    verdicts = (
        evidence.Verdict(token=7, kind=DARK, zones=("a",), failed_s=9.5, weight=3, probers=(1, 2)),
        evidence.Verdict(token=8, kind=SLOW),
    )
    update = feed.Update(samples=(sample,), verdicts=verdicts)
    assert feed.decode(feed.encode(update, 10.0), "c", 10.0) == update


def test_update_without_evidence_is_as_before():
    data = feed.encode(feed.Update(), 10.0)
    assert b"evidence" not in data
    assert b"verdicts" not in data


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"7",
        b"[1]",
        b"[1,[[7]]]",
        b"[1,[[7,2,1,-1,null]]]",
        b"[1,[[7,2,1,NaN,null]]]",
        b"[1,[[7,2,1,7.5,null]]]",
        b"[1,[[7,9,1,0,null]]]",
        b"[1,[[7,2,256,0,null]]]",
        b"[1,[[7,2,Infinity,0,null]]]",
        b"[1,[" + b",".join([b"[7,2,1,0,null]"] * 25) + b"]]",
    ],
)
def test_malformed_report_is_refused(data):
    with pytest.raises(errors.DatagramError):
        evidence.Report.decode(data, "vm", 10.0)
