"""Steering with cold targets; and the return of a zone as all entry VMs together decide on it."""

import heapq
import random

import pytest
from test_coldshares import LIMIT, assert_bound, lead
from test_steering import LEDGER, RULES, Vm, flow, target, update

from zinniaspoke import coldshares, errors, roster, steering, subscription
from zinniaspoke.coldshares import LEADER_WAIT_S

COLD_RULES = RULES + b"\nservice ledger cold_per_s=0.0 cold_start_s=2.0 # t: t"
INTERVAL_S = 1.2


class ColdVm(Vm):
    """An entry VM with shares."""

    def __init__(self, *targets, seed=1):
        super().__init__()
        rng = random.Random(seed)
        self.holder = coldshares.Holder(
            view=self.view, incarnation=seed, announcement_interval_s=INTERVAL_S
        )
        self.core = steering.Steering(
            view=self.view, rng=rng, holder=self.holder, counts=self.holder.counters
        )
        self.apply_update(*targets, number=1, content=COLD_RULES)
        self.known = targets

    def make_granter(self):
        table = roster.Roster(silent_after_s=3.6, retain_s=60.0)
        for known in self.known:
            table.observe(known, self.now_s, self.now_s)
        granter = coldshares.Granter(targets=table, overage=1.5, slack=5.0)
        granter.set_candidates({"e-1": "a"})
        lead(granter, self.now_s - LEADER_WAIT_S, self.now_s)
        return granter

    def ask(self, granter):
        request = self.holder.take_request(self.now_s)
        lead(granter, granter._looked_s, self.now_s)
        self.holder.take_grant(granter.answer(request, "e-1", COLD_RULES, self.now_s), self.now_s)


def test_openings_to_a_cold_target_wait_for_a_share_and_then_go_within_it():
    vm = ColdVm(target(1, warm_at_s=200.0))
    assert all(vm.packet(flow(n)) is steering.WAITING for n in range(9))
    assert vm.core.take_released(vm.now_s) == []
    vm.ask(vm.make_granter())
    assert len(vm.core.take_released(vm.now_s)) == LIMIT
    assert vm.core.queued_count == 9 - LIMIT


def test_waiting_openings_go_when_the_target_is_warm():
    vm = ColdVm(target(1, warm_at_s=100.5))
    assert vm.packet(flow(1)) is steering.WAITING
    vm.now_s = 100.5
    assert len(vm.core.take_released(vm.now_s)) == 1


def test_no_share_goes_to_cold_targets_of_an_entry_vm_that_has_just_started():
    vm = ColdVm(target(1), target(2, warm_at_s=200.0))
    assert {vm.packet(flow(n)).identity for n in range(40)} == {"i-1"}


@pytest.mark.parametrize("after_s", [0.05, 0.2])
def test_copies_of_an_opening_count_and_are_dropped_without_a_share(after_s):
    vm = ColdVm(target(1, warm_at_s=200.0))
    vm.ask(vm.make_granter())
    assert vm.packet(flow(1)).identity == "i-1"
    sent = 1
    for _ in range(20):
        vm.now_s += after_s
        if vm.now_s >= 100.5:
            break
        sent += vm.packet(flow(1)) is not steering.DROPPED_COLD
    while sent < LIMIT:
        vm.packet(flow(100 + sent))
        sent += 1
    assert vm.packet(flow(1)) is steering.DROPPED_COLD
    assert steering.DROPPED_COLD not in steering.REFUSALS


def test_open_flow_of_a_cold_target_goes_on_without_a_share():
    vm = ColdVm(target(1, warm_at_s=200.0))
    vm.ask(vm.make_granter())
    chosen = vm.open(flow(1))
    vm.now_s += 3.0
    assert vm.packet(flow(1), steering.Kind.DATA, chosen.token).identity == "i-1"
    other = ColdVm(target(1, warm_at_s=200.0), seed=2)
    assert other.packet(flow(1), steering.Kind.DATA, chosen.token).identity == "i-1"


@pytest.mark.parametrize("after_s", [0.05, 0.2])
def test_copy_of_an_opening_to_a_target_that_became_cold_again_needs_a_share(after_s):
    """The flow holds the target's record of the time when it was warm."""
    vm = ColdVm(target(1, warm_at_s=50.0))
    assert vm.packet(flow(1)).identity == "i-1"
    vm.apply_update(target(1, warm_at_s=120.0, sequence=2), number=1)
    vm.now_s += after_s
    assert vm.packet(flow(1), retransmit_count=1) is steering.DROPPED_COLD
    vm.ask(vm.make_granter())
    vm.now_s += after_s
    sent = vm.packet(flow(1), retransmit_count=2)
    assert vm.holder.is_limited(sent, vm.now_s)
    assert vm.core.counters.events["cold_openings"] == 1


def test_target_that_becomes_cold_again_gets_nothing_more():
    vm = ColdVm(target(1, warm_at_s=50.0), target(2, warm_at_s=50.0))
    vm.apply_update(target(2, warm_at_s=102.0, sequence=2), number=1)
    assert {vm.packet(flow(n)).identity for n in range(40)} == {"i-1"}


# The return of a zone

RETURN_S = 101.0
COLD_END_S = 104.5


class Fleet:
    """Entry VMs that hear of a zone's return at different times, and the leader's granter."""

    def __init__(self, vm_count, staying_count, seed):
        self.rng = random.Random(seed)
        self.vms = []
        staying = [target(n, zone="a", slot_count=1, warm_at_s=0.0) for n in range(staying_count)]
        away = [target(n, zone="b", slot_count=1, warm_at_s=0.0) for n in range(101, 121)]
        for number in range(vm_count):
            view = subscription.Subscription(
                seeds=("c1:1",), contact_s=4.0, retain_s=60.0, rng=self.rng, now_s=100.0
            )
            holder = coldshares.Holder(
                view=view, incarnation=number, announcement_interval_s=INTERVAL_S
            )
            core = steering.Steering(view=view, rng=self.rng, holder=holder)
            news = update(*staying, *away, number=1, content=COLD_RULES)
            view.apply_update("c1:1", news, 100.0)
            view.evacuated_zones = frozenset({"b"})
            self.vms.append((f"e-{number}", view, holder, core))
        # All became cold shortly before the end, and say so with their next announcement.
        self.cold = [
            target(n, zone="b", slot_count=1, warm_at_s=COLD_END_S, sequence=2)
            for n in range(101, 121)
        ]
        table = roster.Roster(silent_after_s=4.0, retain_s=60.0)
        for record in (*staying, *away):
            table.observe(record, 100.0, 100.0)
        self.granter = coldshares.Granter(targets=table, overage=1.5, slack=5.0)
        # Half of the entry VMs are connected to the leader.
        self.granter.set_candidates({vm[0]: "b" for vm in self.vms[::2]})
        self.arrivals_s = {record.identity: [] for record in self.cold}
        self.events = []

    def at(self, time_s, take):
        self.events.append((time_s, len(self.events), take))

    def plan(self, length_s, rate_per_vm):
        for name, view, holder, core in self.vms:
            returns_s = RETURN_S + self.rng.uniform(0, 0.5)
            self.at(returns_s, lambda view=view, now_s=returns_s: self.give_back(view, now_s))
            for record in self.cold:
                heard_s = RETURN_S + self.rng.uniform(0, INTERVAL_S) + self.rng.uniform(0, 0.3)
                news = update(record, number=1)
                self.at(
                    heard_s,
                    lambda view=view, news=news, now_s=heard_s: view.apply_update(
                        "c1:1", news, now_s
                    ),
                )
            step_s = 100.0 + self.rng.uniform(0, 0.1)
            while step_s < 100.0 + length_s:
                self.at(
                    step_s,
                    lambda name=name, holder=holder, core=core, now_s=step_s: self.tick(
                        name, holder, core, now_s
                    ),
                )
                step_s += 0.1
            opening_s = 100.0
            while (opening_s := opening_s + self.rng.expovariate(rate_per_vm)) < 100.0 + length_s:
                self.at(opening_s, lambda core=core, now_s=opening_s: self.open(core, now_s))
        look_s = 100.0 - LEADER_WAIT_S - 0.2
        while look_s < 100.0 + length_s:
            self.at(look_s, lambda now_s=look_s: self.granter.look(leads=True, term=1, now_s=now_s))
            look_s += 0.1

    @staticmethod
    def give_back(view, now_s):
        view.evacuated_zones = frozenset()
        view.returned_s["b"] = now_s
        view.revision += 1

    def tick(self, name, holder, core, now_s):
        core.tick(now_s)
        for _, found in core.take_released(now_s):
            self.send(found, now_s)
        request = holder.take_request(now_s)
        if request is not None:
            # Skewed: most are quick, some are late.
            received_s = now_s + self.rng.choice((0.002, 0.002, 0.01, 0.4))
            self.later(received_s, lambda: self.answer(name, holder, request, received_s))

    def answer(self, name, holder, request, now_s):
        grant = self.granter.answer(request, name, COLD_RULES, now_s)
        if grant is not None:
            taken_s = now_s + self.rng.choice((0.002, 0.002, 0.01, 0.4))
            self.later(taken_s, lambda: holder.take_grant(grant, taken_s))

    def later(self, time_s, take):
        self.count += 1
        heapq.heappush(self.queue, (time_s, self.count, take))

    def open(self, core, now_s):
        key = flow(self.rng.getrandbits(90))
        found = core.steer(
            steering.Packet(flow=key, route=LEDGER, kind=steering.Kind.OPENING, token=0), now_s
        )
        if isinstance(found, roster.Target):
            self.send(found, now_s)

    def send(self, found, now_s):
        latest_s = coldshares.SEND_LIMIT_S + coldshares.TRANSIT_LIMIT_S
        arrival_s = now_s + self.rng.uniform(0.001, latest_s)
        if found.zone == "b" and arrival_s < COLD_END_S:
            assert now_s >= RETURN_S
            self.arrivals_s[found.identity].append(arrival_s)

    def run(self, length_s, rate_per_vm):
        self.plan(length_s, rate_per_vm)
        self.queue, self.count = self.events, len(self.events)
        heapq.heapify(self.queue)
        while self.queue:
            heapq.heappop(self.queue)[2]()


@pytest.mark.parametrize("vm_count", [60, 200])
@pytest.mark.parametrize("staying_count", [0, 8])
def test_return_of_a_zone_keeps_the_limit_of_each_target(vm_count, staying_count):
    fleet = Fleet(vm_count, staying_count, seed=vm_count)
    fleet.run(length_s=4.5, rate_per_vm=13.0)
    for arrivals_s in fleet.arrivals_s.values():
        assert_bound(arrivals_s)
    total = sum(len(arrivals_s) for arrivals_s in fleet.arrivals_s.values())
    if staying_count:
        # The others have capacity, so the zone that returns is spared.
        assert total == 0
    else:
        # It is all there is: at least half of what its targets may get.
        assert total > 0.5 * len(fleet.cold) * LIMIT * (COLD_END_S - RETURN_S)


@pytest.mark.parametrize("after_s", [0.05, 0.2])
def test_copies_of_openings_to_a_target_that_started_again_cold_are_not_sent_there(after_s):
    """The soak saw 3 openings in a second where 2.5 are allowed."""
    vm = ColdVm(target(1, sequence=9))
    assert all(vm.packet(flow(n)).identity == "i-1" for n in range(9))
    vm.apply_update(target(1, started_ms=2000, warm_at_s=200.0, sequence=1))
    vm.now_s += after_s
    copies = [vm.packet(flow(n), retransmit_count=1) for n in range(9)]
    assert all(isinstance(found, errors.Nothing) for found in copies)
