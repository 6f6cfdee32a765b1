"""Queueing of openings at the targets' in-flight limit, with load shedding by deadline."""

import pytest
import test_steering
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import accounting, backlog, choosing, steering

SLOT_COUNT = 2
IN_FLIGHT_LIMIT = SLOT_COUNT * choosing.IN_FLIGHT_PER_SLOT
REQUEST_S = 0.03
flow = test_steering.flow


def vm_at_limit(count=1):
    """Returns an entry VM whose targets are at their in-flight limit, and the targets by flow."""
    targets = [test_steering.target(n, slot_count=SLOT_COUNT) for n in range(1, count + 1)]
    vm = test_steering.Vm(*targets)
    return vm, {flow(n): vm.open(flow(n)) for n in range(count * IN_FLIGHT_LIMIT)}


def test_opening_is_queued_at_the_limit_and_forwarded_when_a_request_finishes():
    vm, running = vm_at_limit()
    assert vm.packet(flow(100)) is steering.WAITING
    assert vm.core.take_released(vm.now_s) == []
    vm.now_s += REQUEST_S
    vm.finish(flow(0), running[flow(0)])
    ((packet, chosen),) = vm.core.take_released(vm.now_s)
    assert (packet.flow, chosen.identity) == (flow(100), "i-1")
    assert vm.packet(flow(100), steering.Kind.DATA, chosen.token) is chosen


def test_newest_queued_opening_is_forwarded_first_and_new_ones_are_queued():
    vm, running = vm_at_limit(2)
    late = [flow(100 + n) for n in range(5)]
    for key in late:
        vm.now_s += 0.01
        assert vm.packet(key) is steering.WAITING
    for key in list(running)[:3]:
        vm.finish(key, running[key])
    assert vm.packet(flow(200), retransmit_count=1) is steering.WAITING
    assert [p.flow for p, _ in vm.core.take_released(vm.now_s)] == [late[4], late[3], late[2]]


def test_retransmission_of_queued_opening_is_not_queued_twice():
    vm, running = vm_at_limit()
    vm.packet(flow(100))
    vm.now_s += 0.2
    assert vm.packet(flow(100), retransmit_count=1) is steering.WAITING
    for key, chosen in running.items():
        vm.finish(key, chosen)
    assert [p.flow for p, _ in vm.core.take_released(vm.now_s)] == [flow(100)]


def test_opening_that_cannot_be_served_before_its_deadline_is_refused_at_once():
    """Load shedding: after a restart of a deployment all callers connect at the same moment."""
    vm, running = vm_at_limit()
    vm.now_s += IN_FLIGHT_LIMIT / SLOT_COUNT * REQUEST_S
    for key, chosen in running.items():
        vm.finish(key, chosen)
    for number in range(IN_FLIGHT_LIMIT):
        vm.open(flow(50 + number))
    for number in range(200):
        vm.now_s += 0.0001
        assert vm.packet(flow(100 + number)) is steering.WAITING
    rejected = vm.core.take_rejected()
    assert {reason for _, reason in rejected} == {backlog.REFUSED_TOO_MANY_WAITING}
    refused = [packet.flow for packet, _ in rejected]
    # A request is in flight for 0.12 s, so a limit of 8 allows 66 openings per second.
    assert refused == [flow(100 + n) for n in range(len(refused))]
    assert 110 <= len(refused) <= 120
    assert backlog.REFUSED_TOO_MANY_WAITING in steering.REFUSALS
    assert vm.packet(flow(500), retransmit_count=2) is backlog.REFUSED_TOO_MANY_WAITING
    assert vm.core.take_rejected() == []


class TargetQueue:
    """A target that runs two requests concurrently and queues the others in order."""

    def __init__(self):
        self.ends_s = [0.0] * SLOT_COUNT

    def run(self, now_s):
        """Accepts a request and returns the time at which it finishes."""
        free_s = min(self.ends_s)
        self.ends_s.remove(free_s)
        self.ends_s.append(max(now_s, free_s) + REQUEST_S)
        return max(now_s, free_s) + REQUEST_S


def test_new_callers_are_served_in_time_during_a_burst_of_reconnects():
    """Adaptive LIFO: after a power loss callers reconnect together, in addition to the usual load.

    300 openings at once and 250 per second; seven targets serve 466 per second.
    """
    targets = [test_steering.target(n, slot_count=SLOT_COUNT) for n in range(1, 8)]
    vm = test_steering.Vm(*targets)
    queues = {t.identity: TargetQueue() for t in targets}
    running, new, waits_s, returning_count = [], {}, [], 0
    for step in range(1000):
        vm.now_s += 0.002
        for _, key, chosen in [r for r in running if r[0] <= vm.now_s]:
            vm.finish(key, chosen)
        running = [r for r in running if r[0] > vm.now_s]
        returning = [flow(10_000 + n) for n in range(300)] if step == 0 else []
        found = [(key, vm.packet(key, retransmit_count=1)) for key in returning]
        if step % 2 == 0:
            new[flow(step)] = vm.now_s
            found.append((flow(step), vm.packet(flow(step))))
        sent = [(key, chosen) for key, chosen in found if chosen is not steering.WAITING]
        sent += [(p.flow, chosen) for p, chosen in vm.core.take_released(vm.now_s)]
        for key, chosen in sent:
            vm.packet(key, steering.Kind.DATA, chosen.token)
            running.append((queues[chosen.identity].run(vm.now_s), key, chosen))
            if key in new:
                waits_s.append(vm.now_s - new[key])
            else:
                returning_count += 1
    assert sorted(waits_s)[round(0.95 * len(new))] < 0.05
    assert returning_count >= 200


def test_unanswered_opening_counts_as_load_only_for_a_short_time():
    """Otherwise openings of callers that timed out would block those of waiting callers."""
    targets = [test_steering.target(1, slot_count=SLOT_COUNT)]
    vm = test_steering.Vm(*targets)
    for number in range(IN_FLIGHT_LIMIT):
        vm.packet(flow(number))
    assert vm.packet(flow(100)) is steering.WAITING
    vm.now_s += accounting.OPENING_LOAD_S + 0.01
    assert [p.flow for p, _ in vm.core.take_released(vm.now_s)] == [flow(100)]


def test_opening_whose_caller_timed_out_is_not_forwarded():
    vm, running = vm_at_limit()
    vm.packet(flow(100), retransmit_count=2)
    vm.now_s += steering.CONNECT_TIMEOUT_S - steering.RETRANSMIT_TIMES_S[2]
    vm.core.tick(vm.now_s)
    vm.finish(flow(0), running[flow(0)])
    assert vm.core.take_released(vm.now_s) == []
    ((packet, reason),) = vm.core.take_rejected()
    assert (packet.flow, reason) == (flow(100), steering.DROPPED_WAITED_TOO_LONG)


def test_opening_is_queued_no_longer_than_its_rule_allows():
    targets = [test_steering.target(1, slot_count=SLOT_COUNT)]
    vm = test_steering.Vm(*targets, rules=b"10.9.0.1:443 tcp ledger wait_s=0.3 # t: t")
    for number in range(IN_FLIGHT_LIMIT):
        vm.open(flow(number))
    assert vm.packet(flow(100)) is steering.WAITING
    waiting = vm.core._backlogs["ledger"].pop()
    assert waiting.deadline_s == pytest.approx(vm.now_s + 0.3)


def test_opening_reset_by_its_caller_is_not_forwarded():
    vm, running = vm_at_limit()
    vm.packet(flow(100))
    vm.packet(flow(100), steering.Kind.RESET)
    vm.finish(flow(0), running[flow(0)])
    assert vm.core.take_released(vm.now_s) == []


@pytest.mark.parametrize("state", [test_steering.DRAINING, test_steering.ENDED])
def test_queued_opening_is_refused_when_the_last_target_leaves(state):
    vm, running = vm_at_limit()
    vm.packet(flow(100))
    leaving = test_steering.target(1, slot_count=SLOT_COUNT, state=state, sequence=9)
    vm.apply_update(leaving, number=1)
    vm.finish(flow(0), running[flow(0)])
    assert vm.core.take_released(vm.now_s) == []
    ((packet, reason),) = vm.core.take_rejected()
    assert (packet.flow, reason) == (flow(100), steering.REFUSED_NO_TARGET)
    assert vm.packet(flow(101)) is steering.REFUSED_NO_TARGET


def test_queued_opening_is_not_forwarded_to_a_draining_target():
    vm, running = vm_at_limit(2)
    vm.packet(flow(100))
    for key, chosen in running.items():
        vm.finish(key, chosen)
    leaving = test_steering.target(1, slot_count=SLOT_COUNT, state=test_steering.DRAINING)
    vm.apply_update(leaving, number=1)
    assert [t.identity for _, t in vm.core.take_released(vm.now_s)] == ["i-2"]


def test_queued_opening_is_not_placed_after_suspension_before_an_update():
    vm, running = vm_at_limit()
    vm.run(0.5)
    vm.packet(flow(100))
    for key, chosen in running.items():
        vm.finish(key, chosen)
    vm.now_s += 1.0
    vm.view.detect_suspension(vm.now_s)
    assert vm.core.take_released(vm.now_s) == []
    vm.apply_update(number=1)
    assert [p.flow for p, _ in vm.core.take_released(vm.now_s)] == [flow(100)]


def test_queued_opening_is_not_placed_by_outdated_rules():
    vm, running = vm_at_limit()
    vm.packet(flow(100))
    changed = b"10.9.0.1:443 tcp archive # t: t"
    vm.apply_update(test_steering.target(9, "archive"), number=2, content=changed)
    vm.finish(flow(0), running[flow(0)])
    assert vm.core.take_released(vm.now_s) == []
    assert [r for _, r in vm.core.take_rejected()] == [steering.DROPPED_RULES_CHANGED]
    assert vm.packet(flow(100)).service == "archive"


def test_unresponsive_target_is_tried_beyond_its_in_flight_limit():
    """Without further openings a recovery, as after a zone partition, would go unnoticed."""
    vm, _ = vm_at_limit()
    load = next(iter(vm.core._table.loads.values()))
    load.record_failure(vm.now_s - 0.2, vm.now_s)
    assert vm.packet(flow(100)).identity == "i-1"


def test_without_a_mean_duration_every_opening_is_queued():
    waiting = backlog.QueuedOpening(flow=b"f", opening=None, queued_s=0.0, deadline_s=1.4)
    assert backlog.Backlog().add(waiting, 1) == []


@pytest.mark.parametrize("retransmit_count", [0, 1, 2, 3, 2**32 - 1])
def test_deadline_lies_within_connect_timeout_for_any_retransmit_count(retransmit_count):
    vm, _ = vm_at_limit()
    vm.packet(flow(100), retransmit_count=retransmit_count)
    waiting = vm.core._backlogs["ledger"].pop()
    assert vm.now_s < waiting.deadline_s <= vm.now_s + steering.CONNECT_TIMEOUT_S


steps = st.lists(
    st.tuples(st.sampled_from(["open", "finish", "end", "wait", "reset"]), st.integers(0, 30)),
    max_size=150,
)


@given(steps)
def test_in_flight_limit_holds_and_nothing_is_queued_below_it(script):
    targets = [test_steering.target(n, slot_count=1) for n in (1, 2)]
    vm = test_steering.Vm(*targets)
    target_by_flow = {}
    for step, number in script:
        key = flow(number)
        if step == "open":
            found = vm.packet(key)
            if found is not steering.WAITING:
                target_by_flow[key] = found
                vm.packet(key, steering.Kind.DATA, found.token)
        elif step == "wait":
            vm.now_s += 0.05
        elif step == "reset":
            vm.packet(key, steering.Kind.RESET)
        elif key in target_by_flow:
            kind = steering.Kind.END if step == "end" else steering.Kind.DATA
            vm.packet(key, kind, target_by_flow[key].token, acknowledged=number + 1)
        for packet, chosen in vm.core.take_released(vm.now_s):
            target_by_flow[packet.flow] = chosen
            vm.packet(packet.flow, steering.Kind.DATA, chosen.token)
        counts = [load.in_flight_count for load in vm.core._table.loads.values()]
        assert all(0 <= count <= choosing.IN_FLIGHT_PER_SLOT for count in counts)
        assert not vm.core._backlogs["ledger"] or min(counts) == choosing.IN_FLIGHT_PER_SLOT


def waiting(number, urgency=2, is_bulk=False, deadline_s=1.4):
    return backlog.QueuedOpening(
        flow=flow(number),
        opening=None,
        queued_s=0.0,
        deadline_s=deadline_s,
        urgency=urgency,
        is_bulk=is_bulk,
    )


def test_most_urgent_opening_is_forwarded_first_and_among_equals_the_newest():
    """Load: requests of three urgencies wait for places at the same service."""
    queue = backlog.Backlog()
    for number, urgency in enumerate((5, 0, 2, 0, 5)):
        queue.add(waiting(number, urgency, deadline_s=1.4 + 0.1 * number), 8)
    assert [queue.pop().flow for _ in range(5)] == [flow(n) for n in (3, 1, 2, 4, 0)]
    assert not queue


def test_bulk_is_forwarded_every_fifth_time_while_urgent_openings_wait():
    """Load: urgent openings without end beside uploads: neither waits for ever."""
    queue = backlog.Backlog()
    for number in range(20):
        queue.add(waiting(number, urgency=0), 8)
        queue.add(waiting(100 + number, is_bulk=True), 8)
    turns = [queue.pop().is_bulk for _ in range(20)]
    assert turns == [False, False, False, False, True] * 4


def test_least_urgent_openings_are_shed_first_and_bulk_keeps_its_part():
    """Load: a crest leaves places for 19 of 60 openings."""
    queue = backlog.Backlog()
    queue.record_duration(1.3)
    shed = []
    for number in range(20):
        for kind, values in enumerate(({"urgency": 0}, {}, {"is_bulk": True})):
            shed += queue.add(waiting(100 * kind + number, **values), 20)
    assert len(queue) == 19
    kept = [queue.pop() for _ in range(19)]
    assert sum(found.is_bulk for found in kept) == 3
    assert sum(found.urgency == 0 for found in kept) == 16
    assert len({found.flow for found in [*kept, *shed]}) == 60


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["add", "add", "add", "pop", "remove", "expire"]),
            st.integers(0, 15),
            st.integers(0, 3),
            st.booleans(),
            st.floats(0.0, 2.0),
        ),
        max_size=60,
    )
)
def test_every_queued_opening_leaves_exactly_once_in_any_order_of_events(steps):
    queue = backlog.Backlog()
    queue.record_duration(0.5)
    inside, left, removed = set(), [], 0
    for step, number, urgency, is_bulk, time_s in steps:
        if step == "add" and flow(number) not in queue:
            made = waiting(number, urgency, is_bulk, deadline_s=time_s)
            inside.add(made)
            out = queue.add(made, 3)
        elif step == "pop" and queue:
            out = [queue.pop()]
        elif step == "expire":
            out = queue.remove_expired(time_s)
        else:
            gone = {found for found in inside if step == "remove" and found.flow == flow(number)}
            queue.remove(flow(number)) if step == "remove" else None
            out, removed = list(gone), removed + len(gone)
        left += out
        inside -= set(out)
        assert len(queue) == len(inside)
        assert all(found.flow in queue for found in inside)
    rest = queue.clear()
    assert set(rest) == inside
    assert len(set(left) | set(rest)) == len(left) + len(rest)
    assert not queue


URGENT_AND_OTHERS = (
    b"10.9.0.1:443 tcp ledger urgency=0 wait_s=0.3 # t: t\n10.9.0.2:80 tcp ledger # t: u"
)


def test_place_is_not_given_to_a_caller_that_gave_up_between_two_ticks():
    """Load: an urgent opening is past its time, and a less urgent one waits behind it."""
    target = test_steering.target(1, slot_count=SLOT_COUNT)
    vm = test_steering.Vm(target, rules=URGENT_AND_OTHERS)
    for number in range(IN_FLIGHT_LIMIT):
        vm.open(flow(number))
    vm.core.tick(vm.now_s)
    assert vm.packet(flow(100)) is steering.WAITING
    other_route = bytes((10, 9, 0, 2)) + (80).to_bytes(2, "big")
    assert vm.packet(flow(101), route=other_route) is steering.WAITING
    vm.now_s += 0.31
    vm.core.tick(vm.now_s)
    vm.finish(flow(0), target)
    assert [p.flow for p, _ in vm.core.take_released(vm.now_s)] == [flow(101)]
    ((packet, reason),) = vm.core.take_rejected()
    assert (packet.flow, reason) == (flow(100), steering.DROPPED_WAITED_TOO_LONG)
