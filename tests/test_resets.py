"""Which evidence proves that an open flow's target is gone; flows of live targets are kept."""

import heapq
import itertools
import random

import attrs
import pytest
import test_steering

from zinniaspoke import resets, roster, steering

RETRANSMIT_TIMES_S = (0.2, 0.6, 1.4, 3.0)
ROUND_TRIP_S = 0.005
flow, target = test_steering.flow, test_steering.target


@attrs.define(kw_only=True)
class Request:
    """A caller's request on an open flow.

    Attributes:
        number: Number of its flow.
        sequence: Position of its bytes.
        is_acknowledged: Whether the caller knows that the target has it.
    """

    number: int
    sequence: int
    is_acknowledged: bool = False


class Callers:
    """Long flows over several entry VMs; packets are lost one at a time, in either direction."""

    def __init__(
        self, *, vm_count=1, target_count=8, loss=0.0, work_s=0.02, is_rehashed=False, seed=1
    ):
        self.targets = [target(n, zone="abc"[n % 3]) for n in range(1, target_count + 1)]
        rules = test_steering.IDEMPOTENT_RULES
        self.vms = [
            test_steering.Vm(*self.targets, rules=rules, seed=seed + n) for n in range(vm_count)
        ]
        self.rng = random.Random(seed)
        self.loss, self.work_s, self.is_rehashed = loss, work_s, is_rehashed
        self.dark = set()
        self.silent = ()
        self.resets = []
        self.flows = {}
        self.received = {}
        self.ended = set()
        self.agenda = []
        self.order = itertools.count()
        self.now_s = 100.0

    def at(self, time_s, call, *values):
        heapq.heappush(self.agenda, (time_s, next(self.order), call, values))

    def vm_of(self, number):
        vm = self.vms[
            self.rng.randrange(len(self.vms)) if self.is_rehashed else number % len(self.vms)
        ]
        vm.now_s = self.now_s
        return vm

    def is_lost(self):
        return self.rng.random() < self.loss

    def open_flows(self, count, first=0):
        for number in range(first, first + count):
            vm = self.vm_of(number)
            self.flows[number] = chosen = vm.packet(flow(number))
            vm.packet(flow(number), steering.Kind.DATA, chosen.token, acknowledged=1)
            self.received[number] = 1

    def ask(self, number, sequence):
        if number not in self.ended:
            self.send(Request(number=number, sequence=sequence), 0, self.now_s)

    def send(self, request, attempt, start_s):
        number = request.number
        if request.is_acknowledged or number in self.ended:
            return
        chosen = self.flows[number]
        found = test_steering.request(
            self.vm_of(number), flow(number), chosen, request.sequence, self.received[number]
        )
        if found is steering.RESET_UNRESPONSIVE:
            self.resets.append((self.now_s, number, chosen.identity, self.now_s - start_s))
            self.ended.add(number)
            return
        if chosen.identity not in self.dark and not self.is_lost():
            if not self.is_lost():
                self.at(self.now_s + ROUND_TRIP_S, setattr, request, "is_acknowledged", True)
            self.at(self.now_s + ROUND_TRIP_S + self.work_s, self.respond, request)
        if attempt < len(RETRANSMIT_TIMES_S):
            self.at(start_s + RETRANSMIT_TIMES_S[attempt], self.send, request, attempt + 1, start_s)

    def respond(self, request):
        number = request.number
        if number in self.ended or self.flows[number].identity in self.dark:
            return
        if self.is_lost():
            self.at(self.now_s + 0.2, self.respond, request)
            return
        request.is_acknowledged = True
        self.received[number] = max(self.received[number], request.sequence + 1)
        self.vm_of(number).packet(
            flow(number),
            steering.Kind.DATA,
            self.flows[number].token,
            acknowledged=self.received[number],
        )

    def open_and_close(self, number):
        """A short flow whose opening may be lost; the caller retransmits it."""
        self.send_opening(number, 0)

    def send_opening(self, number, attempt):
        vm = self.vm_of(number)
        chosen = vm.packet(flow(number), retransmit_count=attempt)
        is_answered = chosen.identity not in self.dark and not self.is_lost() and not self.is_lost()
        if is_answered:
            vm.packet(flow(number), steering.Kind.DATA, chosen.token)
            vm.packet(flow(number), steering.Kind.END, chosen.token)
            return
        if attempt < 2:
            wait_s = (0.2, 0.4)[attempt]
            self.at(self.now_s + wait_s, self.send_opening, number, attempt + 1)

    def update(self):
        for vm in self.vms:
            vm.now_s = self.now_s
            vm.apply_update(number=1)
            vm.view.tick(self.now_s)
            vm.core.tick(self.now_s)
        self.at(self.now_s + 0.5, self.update)

    def announce(self, *targets, silent=()):
        for vm in self.vms:
            vm.now_s = self.now_s
            vm.apply_update(*targets, silent=silent, number=1)

    def ask_evenly(self, interval_s, seconds):
        """Every flow sends a request each interval, at times of its own."""
        for number in self.flows:
            time_s = self.now_s + self.rng.random() * interval_s
            sequence = 10
            while time_s < self.now_s + seconds:
                self.at(time_s, self.ask, number, sequence)
                time_s += interval_s * self.rng.uniform(0.8, 1.2)
                sequence += 10

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self.agenda and self.agenda[0][0] <= end_s:
            self.now_s, _, call, values = heapq.heappop(self.agenda)
            call(*values)
        self.now_s = end_s


@pytest.mark.parametrize("is_rehashed", [False, True])
@pytest.mark.parametrize("loss", [0.001, 0.03])
def test_no_flow_of_a_live_target_is_reset_when_single_packets_are_lost(loss, is_rehashed):
    """2,000 long flows with 40,000 requests, and short flows whose openings are lost too."""
    callers = Callers(vm_count=6, target_count=30, loss=loss, is_rehashed=is_rehashed)
    callers.open_flows(2000)
    callers.update()
    callers.ask_evenly(2.5, 50.0)
    for number in range(4000):
        callers.at(100.0 + number / 80, callers.open_and_close, 10_000 + number)
    callers.run(53.0)
    assert callers.resets == []


@pytest.mark.parametrize("factor", [5, 8])
def test_no_flow_of_a_slow_target_is_reset(factor):
    """Responses take 0.5 s and more, so that hardly anything is heard of a target meanwhile."""
    callers = Callers(vm_count=4, target_count=6, loss=0.001, work_s=factor * 0.1)
    callers.open_flows(600)
    callers.update()
    callers.ask_evenly(4.0, 60.0)
    callers.run(64.0)
    assert callers.resets == []


def test_no_flow_is_reset_since_announcements_have_stopped():
    """Targets in a zone that was cut off look for a control VM; they serve their flows."""
    callers = Callers(vm_count=4, target_count=12, loss=0.001)
    callers.open_flows(1000)
    callers.update()
    callers.announce(*callers.targets, silent=[t.identity for t in callers.targets])
    callers.ask_evenly(2.0, 40.0)
    callers.run(44.0)
    assert callers.resets == []


def test_no_flow_of_a_full_target_is_reset():
    """A full target drops openings and serves its open flows."""
    callers = Callers(target_count=2)
    callers.open_flows(40)
    full = callers.flows[0]
    for number in range(1000, 1040):
        vm = callers.vm_of(number)
        if vm.packet(flow(number)).identity == full.identity:
            callers.now_s += 0.25
            vm.now_s = callers.now_s
            vm.packet(flow(number), retransmit_count=1)
    vm = callers.vm_of(0)
    assert vm.core._table.loads[full.token].failure_count > 0
    assert test_steering.retransmit(vm, flow(0), full, (0.2, 0.6)) is None


def test_idle_long_flow_whose_request_is_lost_once_is_kept_after_its_target_came_back():
    """The target was cut off for 3 s; 6 s later one packet of an idle flow is lost."""
    callers = Callers(target_count=4)
    callers.open_flows(80)
    callers.update()
    dark = callers.flows[0].identity
    callers.dark.add(dark)
    for number in range(1, 80):
        callers.at(100.0 + number / 30, callers.ask, number, 10)
    callers.run(3.0)
    assert {identity for _, _, identity, _ in callers.resets} == {dark}
    callers.dark.clear()
    callers.run(6.0)
    before = len(callers.resets)
    vm = callers.vm_of(0)
    for time_s in (0.0, 0.2):
        vm.now_s = callers.now_s + time_s
        assert test_steering.request(vm, flow(0), callers.flows[0]) is callers.flows[0]
    assert len(callers.resets) == before


@pytest.mark.parametrize("loss", [0.0, 0.001])
def test_flows_of_a_dark_target_are_reset_within_about_a_second(loss):
    """Six targets and 25 requests a second through this VM: four a second at each target."""
    callers = Callers(target_count=6, loss=loss)
    callers.open_flows(60)
    callers.update()
    callers.ask_evenly(2.4, 12.0)
    callers.run(4.0)
    dark = callers.flows[0].identity
    callers.dark.add(dark)
    callers.run(4.0)
    assert {identity for _, _, identity, _ in callers.resets} == {dark}
    first_s = min(time_s for time_s, _, _, _ in callers.resets)
    assert first_s - 104.0 <= 1.2
    waits_s = sorted(wait_s for _, _, _, wait_s in callers.resets)
    assert waits_s[-1] <= 0.7
    assert waits_s[len(waits_s) // 2] <= 0.3


def test_lone_flow_of_a_dark_target_is_reset_at_its_third_retransmission():
    callers = Callers(target_count=6)
    callers.open_flows(12)
    callers.dark.add(callers.flows[0].identity)
    callers.at(100.0, callers.ask, 0, 10)
    for number in range(1, 12):
        if callers.flows[number].identity not in callers.dark:
            callers.at(100.0 + number / 10, callers.ask, number, 10)
    callers.run(5.0)
    assert [(number, round(wait_s, 1)) for _, number, _, wait_s in callers.resets] == [(0, 1.4)]


def test_flows_to_a_zone_that_is_cut_off_are_reset_at_their_second_retransmission():
    """60 targets with few packets each: no target alone is proven gone in time."""
    callers = Callers(target_count=60)
    callers.open_flows(300)
    callers.update()
    callers.ask_evenly(30.0, 12.0)
    callers.run(4.0)
    callers.dark.update(t.identity for t in callers.targets if t.zone == "b")
    callers.run(8.0)
    assert {identity for _, _, identity, _ in callers.resets} <= callers.dark
    waits_s = sorted(wait_s for _, _, _, wait_s in callers.resets)
    assert len(waits_s) >= 15
    assert waits_s[len(waits_s) * 3 // 4] <= 0.7


def test_live_flow_in_a_zone_with_many_dark_targets_is_kept():
    """Two of three targets of a zone are dark; two packets of the third one are lost."""
    callers = Callers(target_count=9)
    callers.open_flows(90)
    zone_b = [t.identity for t in callers.targets if t.zone == "b"]
    callers.dark.update(zone_b[:2])
    for number, chosen in callers.flows.items():
        if chosen.identity != zone_b[2]:
            callers.at(100.0 + number / 60, callers.ask, number, 10)
    callers.run(1.5)
    number = next(n for n, t in callers.flows.items() if t.identity == zone_b[2])
    vm = callers.vm_of(number)
    assert test_steering.retransmit(vm, flow(number), callers.flows[number], (0.2, 0.6)) is None


def test_link_that_is_busy_between_the_copies_does_not_delay_a_reset():
    """On a link of 2 Mbit/s some packets wait for it nearly every second."""
    callers = Callers(target_count=6)
    callers.open_flows(12)
    callers.dark.add(callers.flows[0].identity)
    callers.at(100.0, callers.ask, 0, 10)
    for number in range(1, 12):
        if callers.flows[number].identity not in callers.dark:
            callers.at(100.0 + number / 10, callers.ask, number, 10)
    for time_s in (100.1, 100.45, 100.9, 101.2):
        callers.at(time_s, callers.vms[0].core.record_link_busy, time_s)
    callers.run(5.0)
    assert [(number, round(wait_s, 1)) for _, number, _, wait_s in callers.resets] == [(0, 1.4)]


def test_vm_that_hears_nothing_at_all_resets_nothing():
    """This VM's own link is harmed: every target seems dark."""
    callers = Callers(target_count=6)
    callers.open_flows(60)
    callers.update()
    callers.dark.update(t.identity for t in callers.targets)
    callers.ask_evenly(2.0, 2.0)
    callers.run(6.0)
    assert callers.resets == []


def test_flow_is_reset_at_once_when_its_target_has_ended():
    """One packet that was sent after the target's own word goes unanswered."""
    callers = Callers(target_count=3)
    callers.open_flows(9)
    ended = callers.flows[0]
    vm = callers.vm_of(0)
    vm.now_s += 1.0
    number = int(ended.identity[2:])
    vm.apply_update(target(number, zone=ended.zone, state=roster.State.ENDED, sequence=2), number=1)
    assert test_steering.retransmit(vm, flow(0), ended) == 0.2


def test_flow_whose_last_packet_left_before_the_target_ended_is_kept_for_one_more():
    callers = Callers(target_count=3)
    callers.open_flows(9)
    ended = callers.flows[0]
    vm = callers.vm_of(0)
    vm.now_s += 1.0
    test_steering.request(vm, flow(0), ended)
    vm.now_s += 0.1
    number = int(ended.identity[2:])
    vm.apply_update(target(number, zone=ended.zone, state=roster.State.ENDED, sequence=2), number=1)
    vm.now_s += 0.1
    assert test_steering.request(vm, flow(0), ended) is ended
    vm.now_s += 0.4
    assert test_steering.request(vm, flow(0), ended) is steering.RESET_UNRESPONSIVE


def restart(vm, old, **changes):
    """The target's later incarnation becomes known; it knows nothing of earlier flows."""
    number = int(old.identity[2:])
    found = attrs.evolve(target(number, zone=old.zone, started_ms=9000), **changes)
    vm.apply_update(found, number=1)
    return found


@pytest.mark.parametrize("has_record", [True, False])
def test_flow_is_reset_when_its_target_has_started_again_elsewhere(has_record):
    """What is sent to the earlier address reaches nobody."""
    callers = Callers(target_count=3)
    callers.open_flows(9)
    old = callers.flows[0]
    vm = callers.vm_of(0)
    vm.now_s += 1.0 if has_record else 20.0
    vm.core.tick(vm.now_s)
    vm.apply_update(number=1)
    restart(vm, old, address=("10.0.1.9", 80))
    assert test_steering.retransmit(vm, flow(0), old) == 0.2


@pytest.mark.parametrize("has_record", [True, False])
def test_flow_opened_before_the_restart_of_its_target_was_known_is_kept(has_record):
    """Guards against resets of flows that the later incarnation took with the earlier one's token.

    A flow of the earlier incarnation gets the same packets; the target resets it itself.
    """
    callers = Callers(target_count=3)
    callers.open_flows(9)
    old = callers.flows[0]
    vm = callers.vm_of(0)
    restarted = restart(vm, old)
    vm.now_s += 5.0 if has_record else 20.0
    vm.core.tick(vm.now_s)
    vm.apply_update(number=1)
    for _ in range(2):
        found = test_steering.request(vm, flow(0), old, sequence=10)
        assert (found.identity, found.address) == (restarted.identity, restarted.address)
        vm.now_s += 0.2


def test_flow_is_reset_when_its_restarted_target_ends():
    """The flow has the token of the earlier incarnation."""
    callers = Callers(target_count=3)
    callers.open_flows(9)
    old = callers.flows[0]
    vm = callers.vm_of(0)
    restart(vm, old)
    vm.now_s += 5.0
    restart(vm, old, state=roster.State.ENDED, sequence=2)
    assert test_steering.retransmit(vm, flow(0), old) == 0.2


@pytest.mark.parametrize("end", list(roster.End))
def test_end_that_an_earlier_incarnation_may_have_sent_proves_nothing(end):
    """A target that never drained is gone at once by all other evidence."""
    callers = Callers(target_count=3)
    callers.open_flows(9)
    ended = callers.flows[0]
    vm = callers.vm_of(0)
    vm.now_s += 1.0
    vm.apply_update(attrs.evolve(ended, state=roster.State.ENDED, end=end), number=1)
    assert vm.packet(flow(50)).identity != ended.identity
    found = test_steering.retransmit_beside_others(vm, flow(0), ended, (0.2, 0.6))
    assert found == (None if end is roster.End.AMBIGUOUS else 0.2)


def test_needed_spans_follow_the_measured_loss():
    judge = resets.Judge()
    assert judge.needed_spans == 3
    for number in range(1000):
        judge.note_answered(0, float(number))
    assert judge.needed_spans == 3
    for number in range(1000):
        judge.note_answered(int(number % 16 == 0), 1000.0 + number)
    assert judge.needed_spans >= 5


def test_target_that_was_taken_for_ended_and_runs_after_all_keeps_its_flows():
    """The late deregistration of an earlier start ends its successor until that is disproved."""
    vm = test_steering.Vm(
        test_steering.target(1), test_steering.target(2), rules=test_steering.IDEMPOTENT_RULES
    )
    key = test_steering.flow(1)
    chosen = vm.open(key)
    vm.apply_update(attrs.evolve(chosen, state=roster.State.ENDED), number=1)
    vm.packet(test_steering.flow(50))
    again = attrs.evolve(chosen, order_ms=chosen.order_ms + 1, sequence=chosen.sequence + 3)
    vm.apply_update(again, number=1)
    vm.now_s += 3.0
    assert test_steering.retransmit_beside_others(vm, key, chosen, (0.2, 0.6)) is None
