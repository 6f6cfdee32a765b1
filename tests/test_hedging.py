"""Tests of hedged openings: when, within which budget, and what both targets see."""

import random

import pytest
import test_steering
from hypothesis import given
from hypothesis import strategies as st
from test_steering import flow, target

from zinniaspoke import flowstate, hedging, steering

RULES = (
    b"10.9.0.1:443 tcp ledger idempotent=yes # t: t\n"
    b"10.9.0.1:444 tcp ledger # t: t\n"
    b"10.9.0.2:443 tcp ledger idempotent=yes hedge=0 # t: t"
)
READ = test_steering.LEDGER
POST = test_steering.ARCHIVE
READ_WITHOUT_HEDGE = bytes((10, 9, 0, 2)) + (443).to_bytes(2, "big")
# The usual time to the first packet after an opening in these tests.
ANSWER_S = 0.004


class Vm(test_steering.Vm):
    def __init__(self, *targets, share=1.0, seed=1):
        super().__init__(seed=seed)
        self.core = steering.Steering(
            view=self.view, rng=random.Random(seed), own_zone="a", hedge_share=share
        )
        self.apply_update(*targets, number=1, content=RULES)

    def wait(self, seconds):
        self.now_s += seconds
        self.view.detect_suspension(self.now_s)

    def answer(self, key, chosen, route=READ):
        return self.packet(key, steering.Kind.DATA, chosen.token, route)

    def learn(self, count=hedging.LEARNING_COUNT, route=READ):
        """Opens flows that are answered in the usual time."""
        for number in range(10_000, 10_000 + count):
            chosen = self.packet(flow(number), route=route)
            self.wait(ANSWER_S)
            self.answer(flow(number), chosen, route)
            self.packet(flow(number), steering.Kind.END, chosen.token, route)
        self.core.take_hedges(self.now_s + 1.0)

    def hedges_after(self, seconds):
        self.wait(seconds)
        return self.core.take_hedges(self.now_s)

    def events(self, name):
        return self.core.counters.events[name]


def test_unanswered_opening_is_sent_to_a_second_target_before_the_callers_copy():
    vm = Vm(target(1), target(2))
    vm.learn()
    first = vm.packet(flow(1), route=READ)
    ((packet, second),) = vm.hedges_after(hedging.DELAY_MAX_S)
    assert packet.flow == flow(1)
    assert second.identity != first.identity
    assert vm.events("hedges_sent") == 1


def test_answered_opening_is_not_hedged():
    vm = Vm(target(1), target(2))
    vm.learn()
    vm.answer(flow(1), vm.packet(flow(1), route=READ))
    assert vm.hedges_after(hedging.DELAY_MAX_S) == []


def test_nothing_is_hedged_before_the_usual_time_is_known():
    vm = Vm(target(1), target(2))
    vm.learn(hedging.LEARNING_COUNT - 1)
    vm.packet(flow(1), route=READ)
    assert vm.hedges_after(hedging.DELAY_MAX_S) == []


@pytest.mark.parametrize("route", [POST, READ_WITHOUT_HEDGE])
def test_rules_that_do_not_allow_it_are_not_hedged(route):
    vm = Vm(target(1), target(2))
    vm.learn()
    vm.packet(flow(1), route=route)
    assert vm.hedges_after(hedging.DELAY_MAX_S) == []


def test_off_by_default():
    vm = Vm(target(1), target(2), share=0.0)
    vm.learn()
    vm.packet(flow(1), route=READ)
    assert vm.core.next_hedge_s is None


def test_flow_belongs_to_the_target_that_answered_first_and_the_other_is_not_counted():
    vm = Vm(target(1), target(2))
    vm.learn()
    first = vm.packet(flow(1), route=READ)
    ((_, second),) = vm.hedges_after(hedging.DELAY_MAX_S)
    assert vm.answer(flow(1), second) is second
    assert vm.events("hedges_won") == 1
    # The first target's late answer changes the token that the caller returns.
    assert vm.answer(flow(1), first) is second
    vm.packet(flow(1), steering.Kind.END, second.token, READ)
    assert "0 in flight" in vm.core.explain(flow(1))
    vm.wait(1.0)
    assert vm.core.take_hedges(vm.now_s) == []


def test_callers_copy_goes_to_neither_of_the_two_silent_targets():
    vm = Vm(target(1), target(2), target(3))
    vm.learn()
    first = vm.packet(flow(1), route=READ)
    ((_, second),) = vm.hedges_after(hedging.DELAY_MAX_S)
    vm.wait(0.2 - hedging.DELAY_MAX_S)
    third = vm.packet(flow(1), route=READ, retransmit_count=1)
    assert len({first.identity, second.identity, third.identity}) == 3


def test_no_hedge_while_openings_wait_for_a_target():
    vm = Vm(target(1, slot_count=1), target(2, slot_count=1))
    vm.learn()
    for number in range(100, 120):
        vm.packet(flow(number), route=READ)
    assert vm.core.queued_count > 0
    assert vm.hedges_after(hedging.DELAY_MAX_S) == []


def test_no_hedge_from_a_vm_whose_own_link_is_busy():
    vm = Vm(target(1), target(2))
    vm.learn()
    vm.packet(flow(1), route=READ)
    vm.core.record_link_busy(vm.now_s)
    assert vm.hedges_after(hedging.DELAY_MAX_S) == []
    assert vm.events("hedges_kept_back_by_own_link") == 1


def test_no_hedge_after_a_suspension_of_this_vm():
    vm = Vm(target(1), target(2))
    vm.learn()
    vm.packet(flow(1), route=READ)
    assert vm.hedges_after(5.0) == []


def test_no_hedge_to_a_target_in_an_evacuated_zone():
    vm = Vm(target(1), target(2, zone="b"))
    vm.learn()
    vm.view.evacuated_zones = frozenset({"b"})
    vm.packet(flow(1), route=READ)
    assert vm.hedges_after(hedging.DELAY_MAX_S) == []
    assert vm.core._hedger.budget.is_enough


@pytest.mark.parametrize("state", [test_steering.DRAINING, test_steering.ENDED])
def test_no_hedge_to_a_target_that_leaves_before_the_second_try(state):
    vm = Vm(target(1), target(2))
    vm.learn()
    first = vm.packet(flow(1), route=READ)
    number = 2 if first.identity == "i-1" else 1
    vm.apply_update(target(number, state=state, sequence=9), number=1)
    assert vm.hedges_after(hedging.DELAY_MAX_S) == []


def test_overload_of_dark_targets_adds_no_more_than_the_limit():
    """All targets stop to answer at 200 openings a second: the worst second for a hedge."""
    share = 0.05
    vm = Vm(*(target(n) for n in range(1, 9)), share=share)
    vm.learn(200)
    before = vm.events("hedges_sent")
    openings = 0
    for number in range(400):
        vm.packet(flow(number), route=READ)
        openings += 1
        vm.hedges_after(0.005)
    sent = vm.events("hedges_sent") - before
    assert 0 < sent <= share * openings + hedging.BURST_COUNT
    assert vm.events("hedges_refused_by_budget") > 0


def test_budget_is_empty_after_a_restart():
    assert not hedging.Budget().is_enough


@given(st.lists(st.one_of(st.floats(0, 1), st.just("spend")), max_size=200))
def test_budget_never_allows_more_than_it_was_given(steps):
    budget, earned, spent = hedging.Budget(), 0.0, 0
    for step in steps:
        if step == "spend":
            if budget.is_enough:
                budget.spend()
                spent += 1
        else:
            budget.earn(step)
            earned += step
        assert spent <= earned + 1e-6


def test_estimate_settles_near_the_quantile():
    estimate = hedging.DelayEstimate()
    rng = random.Random(4)
    samples = [rng.uniform(0.002, 0.012) for _ in range(4000)]
    for sample in samples:
        estimate.record(sample)
    quantile_s = sorted(samples)[int(0.95 * len(samples))]
    assert estimate.delay_s == pytest.approx(hedging.LATE_FACTOR * quantile_s, rel=0.25)


def test_service_whose_answers_come_too_late_for_a_second_try_is_not_hedged():
    estimate = hedging.DelayEstimate()
    for _ in range(1000):
        estimate.record(0.12)
    assert estimate.delay_s is None


ACTIONS = ("copy", "hedge", "first", "second", "data", "end", "reset")


@given(st.lists(st.sampled_from(ACTIONS), max_size=12))
def test_a_flow_has_one_target_and_a_balanced_load_in_all_orders_of_arrival(actions):
    vm = Vm(*(target(n) for n in range(1, 5)))
    vm.learn()
    chosen = [vm.packet(flow(1), route=READ)]
    bound = None
    for action in actions:
        vm.wait(0.05)
        found = None
        if action == "copy":
            found = vm.packet(flow(1), route=READ, retransmit_count=1)
            if bound is None:
                chosen.append(found)
        elif action == "hedge":
            chosen += [second for _, second in vm.core.take_hedges(vm.now_s)]
        elif action in ("first", "second", "data"):
            token = chosen[min(len(chosen) - 1, int(action == "second"))].token
            found = vm.packet(flow(1), steering.Kind.DATA, token, READ, has_payload=True)
            bound = bound or found
        else:
            kind = steering.Kind.END if action == "end" else steering.Kind.RESET
            vm.packet(flow(1), kind, chosen[0].token, READ)
            break
        # Work is sent to one target only, the one that the caller's first packet named.
        if found is not None and bound is not None:
            assert found is bound
    vm.run(flowstate.MIN_RETRANSMIT_S + steering.IDLE_LOAD_TIMEOUT_S + 1.0)
    vm.core.take_released(vm.now_s)
    assert all(load.in_flight_count == 0 for load in vm.core._table.loads.values())


def test_no_hedge_by_rules_that_have_changed():
    vm = Vm(target(1), target(2), target(3, "archive"))
    vm.learn()
    vm.packet(flow(1), route=READ)
    content = RULES.replace(b":443 tcp ledger", b":443 tcp archive")
    vm.apply_update(number=2, content=content)
    assert vm.hedges_after(hedging.DELAY_MAX_S) == []
