"""Bounded waiting of openings while targets are full: load shedding with a deadline."""

import pytest
import test_steering
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import backlog, choosing, steering

SLOT_COUNT = 2
PLACE_COUNT = SLOT_COUNT * choosing.PLACES_PER_SLOT
WORK_S = 0.03
flow = test_steering.flow


def full_vm(count=1):
    """An entry VM that has filled all places of its targets; returns it with their flows."""
    targets = [test_steering.target(n, slot_count=SLOT_COUNT) for n in range(1, count + 1)]
    vm = test_steering.Vm(*targets)
    return vm, {flow(n): vm.open(flow(n)) for n in range(count * PLACE_COUNT)}


def test_opening_that_every_queue_would_turn_away_waits_and_is_sent_on_when_work_ends():
    vm, running = full_vm()
    assert vm.packet(flow(100)) is steering.WAITING
    assert vm.core.take_released(vm.now_s) == []
    vm.now_s += WORK_S
    vm.finish(flow(0), running[flow(0)])
    ((packet, chosen),) = vm.core.take_released(vm.now_s)
    assert (packet.flow, chosen.identity) == (flow(100), "i-1")
    assert vm.packet(flow(100), steering.Kind.DATA, chosen.token) is chosen


def test_of_openings_that_wait_the_newest_is_sent_on_first_and_none_overtakes_them():
    vm, running = full_vm(2)
    late = [flow(100 + n) for n in range(5)]
    for key in late:
        vm.now_s += 0.01
        assert vm.packet(key) is steering.WAITING
    for key in list(running)[:3]:
        vm.finish(key, running[key])
    assert vm.packet(flow(200), retransmit_count=1) is steering.WAITING
    assert [p.flow for p, _ in vm.core.take_released(vm.now_s)] == [late[4], late[3], late[2]]


def test_copy_of_an_opening_that_waits_does_not_wait_twice():
    vm, running = full_vm()
    vm.packet(flow(100))
    vm.now_s += 0.2
    assert vm.packet(flow(100), retransmit_count=1) is steering.WAITING
    for key, chosen in running.items():
        vm.finish(key, chosen)
    assert [p.flow for p, _ in vm.core.take_released(vm.now_s)] == [flow(100)]


def test_what_waits_in_vain_is_refused_at_once():
    """Load shedding: the callers of a restarted deployment all come at the same moment."""
    vm, running = full_vm()
    vm.now_s += PLACE_COUNT / SLOT_COUNT * WORK_S
    for key, chosen in running.items():
        vm.finish(key, chosen)
    for number in range(PLACE_COUNT):
        vm.open(flow(50 + number))
    for number in range(200):
        vm.now_s += 0.0001
        assert vm.packet(flow(100 + number)) is steering.WAITING
    given_up = vm.core.take_rejected()
    assert {reason for _, reason in given_up} == {backlog.TOO_MANY}
    refused = [packet.flow for packet, _ in given_up]
    # A place is held for 0.12 s, so 8 places send on 66 openings a second.
    assert refused == [flow(100 + n) for n in range(len(refused))]
    assert 110 <= len(refused) <= 120
    assert backlog.TOO_MANY in steering.REFUSALS
    assert vm.packet(flow(500), retransmit_count=2) is backlog.TOO_MANY
    assert vm.core.take_rejected() == []


class Queue:
    """A target that runs two pieces of work at once and takes the others in order."""

    def __init__(self):
        self.ends_s = [0.0] * SLOT_COUNT

    def run(self, now_s):
        """Takes a piece of work; returns when it is done."""
        free_s = min(self.ends_s)
        self.ends_s.remove(free_s)
        self.ends_s.append(max(now_s, free_s) + WORK_S)
        return max(now_s, free_s) + WORK_S


def test_new_callers_are_served_in_time_while_old_ones_wait():
    """Adaptive LIFO: callers held up by a power loss come back together with the usual load.

    300 openings at once, 250 a second besides; seven targets do 466 a second.
    """
    targets = [test_steering.target(n, slot_count=SLOT_COUNT) for n in range(1, 8)]
    vm = test_steering.Vm(*targets)
    queues = {t.identity: Queue() for t in targets}
    running, new, waits_s, old_count = [], {}, [], 0
    for step in range(1000):
        vm.now_s += 0.002
        for _, key, chosen in [r for r in running if r[0] <= vm.now_s]:
            vm.finish(key, chosen)
        running = [r for r in running if r[0] > vm.now_s]
        old = [flow(10_000 + n) for n in range(300)] if step == 0 else []
        found = [(key, vm.packet(key, retransmit_count=1)) for key in old]
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
                old_count += 1
    assert sorted(waits_s)[round(0.95 * len(new))] < 0.05
    assert old_count >= 200


def test_opening_that_its_target_refused_or_lost_holds_its_place_for_a_moment_only():
    """Else callers who have left would keep the places from those who are there."""
    targets = [test_steering.target(1, slot_count=SLOT_COUNT)]
    vm = test_steering.Vm(*targets)
    for number in range(PLACE_COUNT):
        vm.packet(flow(number))
    assert vm.packet(flow(100)) is steering.WAITING
    vm.now_s += steering.OPENING_LOAD_S + 0.01
    assert [p.flow for p, _ in vm.core.take_released(vm.now_s)] == [flow(100)]


def test_opening_whose_caller_has_given_up_is_not_sent_on():
    vm, running = full_vm()
    vm.packet(flow(100), retransmit_count=2)
    vm.now_s += steering.ATTEMPT_S - steering.REPEATED_AFTER_S[2]
    vm.core.tick(vm.now_s)
    vm.finish(flow(0), running[flow(0)])
    assert vm.core.take_released(vm.now_s) == []
    ((packet, reason),) = vm.core.take_rejected()
    assert (packet.flow, reason) == (flow(100), steering.DROPPED_WAITED_TOO_LONG)


def test_opening_waits_no_longer_than_its_rule_allows():
    targets = [test_steering.target(1, slot_count=SLOT_COUNT)]
    vm = test_steering.Vm(*targets, rules=b"10.9.0.1:443 tcp ledger wait_s=0.3 # t: t")
    for number in range(PLACE_COUNT):
        vm.open(flow(number))
    assert vm.packet(flow(100)) is steering.WAITING
    waiting = vm.core._backlogs["ledger"].pop()
    assert waiting.until_s == pytest.approx(vm.now_s + 0.3)


def test_opening_that_its_caller_took_back_is_not_sent_on():
    vm, running = full_vm()
    vm.packet(flow(100))
    vm.packet(flow(100), steering.Kind.RESET)
    vm.finish(flow(0), running[flow(0)])
    assert vm.core.take_released(vm.now_s) == []


@pytest.mark.parametrize("state", [test_steering.DRAINING, test_steering.ENDED])
def test_opening_that_waits_is_refused_at_once_when_the_last_target_leaves(state):
    vm, running = full_vm()
    vm.packet(flow(100))
    leaving = test_steering.target(1, slot_count=SLOT_COUNT, state=state, sequence=9)
    vm.take(leaving, number=1)
    vm.finish(flow(0), running[flow(0)])
    assert vm.core.take_released(vm.now_s) == []
    ((packet, reason),) = vm.core.take_rejected()
    assert (packet.flow, reason) == (flow(100), steering.REFUSED_NO_TARGET)
    assert vm.packet(flow(101)) is steering.REFUSED_NO_TARGET


def test_opening_is_not_sent_on_to_a_target_that_leaves_meanwhile():
    vm, running = full_vm(2)
    vm.packet(flow(100))
    for key, chosen in running.items():
        vm.finish(key, chosen)
    leaving = test_steering.target(1, slot_count=SLOT_COUNT, state=test_steering.DRAINING)
    vm.take(leaving, number=1)
    assert [t.identity for _, t in vm.core.take_released(vm.now_s)] == ["i-2"]


def test_opening_that_waited_through_a_standstill_is_not_placed_on_old_knowledge():
    vm, running = full_vm()
    vm.run(0.5)
    vm.packet(flow(100))
    for key, chosen in running.items():
        vm.finish(key, chosen)
    vm.now_s += 1.0
    vm.view.detect_suspension(vm.now_s)
    assert vm.core.take_released(vm.now_s) == []
    vm.take(number=1)
    assert [p.flow for p, _ in vm.core.take_released(vm.now_s)] == [flow(100)]


def test_opening_that_waited_is_not_placed_by_rules_of_before():
    vm, running = full_vm()
    vm.packet(flow(100))
    moved = b"10.9.0.1:443 tcp archive # t: t"
    vm.take(test_steering.target(9, "archive"), number=2, content=moved)
    vm.finish(flow(0), running[flow(0)])
    assert vm.core.take_released(vm.now_s) == []
    assert [r for _, r in vm.core.take_rejected()] == [steering.DROPPED_RULES_CHANGED]
    assert vm.packet(flow(100)).service == "archive"


def test_target_that_answers_nothing_is_tried_however_many_openings_it_owes():
    """Else nothing would find out that a zone is no longer cut off."""
    vm, _ = full_vm()
    load = next(iter(vm.core._loads.values()))
    load.note_failure(vm.now_s)
    assert vm.packet(flow(100)).identity == "i-1"


def test_without_a_mean_every_opening_may_wait():
    waiting = backlog.Waiting(flow=b"f", opening=None, since_s=0.0, until_s=1.4)
    assert backlog.Backlog().add(waiting, 1) == []


@pytest.mark.parametrize("retransmit_count", [0, 1, 2, 3, 2**32 - 1])
def test_any_count_of_copies_gives_a_deadline_within_the_callers_attempt(retransmit_count):
    vm, _ = full_vm()
    vm.packet(flow(100), retransmit_count=retransmit_count)
    waiting = vm.core._backlogs["ledger"].pop()
    assert vm.now_s < waiting.until_s <= vm.now_s + steering.ATTEMPT_S


steps = st.lists(
    st.tuples(st.sampled_from(["open", "finish", "end", "wait", "reset"]), st.integers(0, 30)),
    max_size=150,
)


@given(steps)
def test_no_target_is_given_more_than_its_places_and_nothing_waits_beside_a_free_one(script):
    targets = [test_steering.target(n, slot_count=1) for n in (1, 2)]
    vm = test_steering.Vm(*targets)
    given_to = {}
    for step, number in script:
        key = flow(number)
        if step == "open":
            found = vm.packet(key)
            if found is not steering.WAITING:
                given_to[key] = found
                vm.packet(key, steering.Kind.DATA, found.token)
        elif step == "wait":
            vm.now_s += 0.05
        elif step == "reset":
            vm.packet(key, steering.Kind.RESET)
        elif key in given_to:
            kind = steering.Kind.END if step == "end" else steering.Kind.DATA
            vm.packet(key, kind, given_to[key].token, acknowledged=number + 1)
        for packet, chosen in vm.core.take_released(vm.now_s):
            given_to[packet.flow] = chosen
            vm.packet(packet.flow, steering.Kind.DATA, chosen.token)
        counts = [load.running_count for load in vm.core._loads.values()]
        assert all(0 <= count <= choosing.PLACES_PER_SLOT for count in counts)
        assert not vm.core._backlogs["ledger"] or min(counts) == choosing.PLACES_PER_SLOT
