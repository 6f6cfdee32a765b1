"""Forwarding by routing token: openings, retransmissions, binding, open flows, refusals."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import (
    choosing,
    feed,
    flowstate,
    hashing,
    packets,
    roster,
    selection,
    steering,
    subscription,
)

RULES = b"10.9.0.1:443 tcp ledger # t: t\n10.9.0.1:444 tcp archive # t: t"
LEDGER = bytes((10, 9, 0, 1)) + (443).to_bytes(2, "big")
ARCHIVE = bytes((10, 9, 0, 1)) + (444).to_bytes(2, "big")
NO_RULE = bytes((10, 9, 0, 9)) + (443).to_bytes(2, "big")
# High enough that the in-flight limit has no effect.
MANY_SLOTS = 1000
READY, DRAINING, ENDED = roster.State.READY, roster.State.DRAINING, roster.State.ENDED


def target(number, service="ledger", state=READY, started_ms=1000, **others):
    return roster.Target(
        identity=f"i-{number}",
        started_ms=started_ms,
        sequence=others.pop("sequence", 1),
        service=service,
        address=(f"10.0.0.{number}", 80),
        zone=others.pop("zone", "a"),
        slot_count=others.pop("slot_count", MANY_SLOTS),
        state=state,
        **others,
    )


def update(
    *targets, number=0, content=None, silent=(), is_current=True, is_complete=True, **places
):
    observations = [
        feed.Observation(target=t, age_s=0.0, is_silent=t.identity in silent) for t in targets
    ]
    return feed.Update(
        observations=tuple(observations),
        controls=("c1:1", "c2:1"),
        number=number,
        content=content,
        is_current=is_current,
        is_complete=is_complete,
        **places,
    )


class Vm:
    """An entry VM's subscription and steering with a simulated clock."""

    def __init__(self, *targets, rules=RULES, seed=1):
        self.now_s = 100.0
        rng = random.Random(seed)
        self.view = subscription.Subscription(
            seeds=("c1:1", "c2:1"), contact_s=4.0, retain_s=60.0, rng=rng, now_s=self.now_s
        )
        self.core = steering.Steering(view=self.view, rng=rng)
        if targets:
            self.apply_update(*targets, number=1, content=rules)

    def apply_update(self, *targets, name="c1:1", **values):
        self.view.apply_update(name, update(*targets, **values), self.now_s)

    def run(self, seconds, feeds=("c1:1",)):
        """Advances the clock in steps of 0.1 s, with an update from each given control VM."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.1
            for name in feeds:
                self.apply_update(name=name, number=self.view.rules.number)
            self.view.tick(self.now_s)
            self.core.tick(self.now_s)

    def packet(self, flow, kind=steering.Kind.OPENING, token=0, route=LEDGER, **values):
        made = steering.Packet(flow=flow, route=route, kind=kind, token=token, **values)
        return self.core.steer(made, self.now_s)

    def finish(self, flow, chosen):
        """Acknowledges the first bytes of the response."""
        self.packet(flow, steering.Kind.DATA, chosen.token, acknowledged=1)

    def open(self, flow, route=LEDGER):
        """Opens a flow and sends its first data packet."""
        chosen = self.packet(flow, route=route)
        assert self.packet(flow, steering.Kind.DATA, chosen.token, route) is chosen
        return chosen


def flow(number):
    return number.to_bytes(12, "big")


def test_opening_goes_to_target_of_service_in_rule():
    vm = Vm(target(1), target(2, "archive"))
    assert vm.packet(flow(1)).identity == "i-1"
    assert vm.packet(flow(2), route=ARCHIVE).identity == "i-2"


def test_opening_without_rule_or_target_is_refused():
    vm = Vm(target(1))
    assert vm.packet(flow(1), route=NO_RULE) is steering.REFUSED_NO_ROUTE
    assert vm.packet(flow(1), route=ARCHIVE) is steering.REFUSED_NO_TARGET


def test_opening_before_rules_are_known_is_dropped_and_not_refused():
    assert Vm().packet(flow(1)) is steering.DROPPED_NOT_READY


def test_every_entry_vm_forwards_open_flow_by_token():
    targets = [target(n) for n in range(1, 8)]
    first, second = Vm(*targets, seed=1), Vm(*targets, seed=2)
    for number in range(50):
        chosen = first.open(flow(number))
        found = second.packet(flow(number), steering.Kind.DATA, chosen.token)
        assert found.identity == chosen.identity


@pytest.mark.parametrize("state", [DRAINING, ENDED])
def test_draining_or_ended_target_keeps_its_flows_and_gets_no_new_ones(state):
    vm = Vm(target(1), target(2))
    chosen = vm.open(flow(1))
    vm.apply_update(target(int(chosen.identity[-1]), state=state, sequence=5), number=1)
    assert vm.packet(flow(1), steering.Kind.DATA, chosen.token).identity == chosen.identity
    assert all(vm.packet(flow(n)).identity != chosen.identity for n in range(2, 40))


def test_packet_with_unknown_token_is_dropped():
    vm = Vm(target(1))
    assert vm.packet(flow(1), steering.Kind.DATA, 12345) is steering.DROPPED_UNKNOWN_TOKEN
    assert vm.packet(flow(1), steering.Kind.DATA, 0) is steering.DROPPED_UNKNOWN_TOKEN


@pytest.mark.parametrize("has_record", [True, False])
def test_new_process_of_another_service_gets_no_packets_of_old_flows(has_record):
    """It runs under the old name at the old address, so it would take them for its own."""
    vm = Vm(target(1))
    old = vm.open(flow(1))
    vm.now_s += 1.0 if has_record else 20.0
    vm.core.tick(vm.now_s)
    vm.apply_update(target(1, "archive", started_ms=5000), number=1)
    for kind in (steering.Kind.DATA, steering.Kind.END):
        assert vm.packet(flow(1), kind, old.token) is steering.DROPPED_TAKEN_OVER
    other = Vm(target(1, "archive", started_ms=5000))
    assert other.packet(flow(1), steering.Kind.DATA, old.token) is steering.DROPPED_UNKNOWN_TOKEN


def test_retransmission_delayed_in_transit_keeps_target():
    vm = Vm(target(1), target(2))
    first = vm.packet(flow(1))
    vm.now_s += 0.05
    assert vm.packet(flow(1)) is first


def test_retransmission_goes_to_another_target_and_first_is_suspected():
    """Passive outlier ejection by unanswered openings."""
    vm = Vm(target(1), target(2), target(3))
    unresponsive = vm.packet(flow(1)).identity
    vm.now_s += 0.2
    assert vm.packet(flow(1)).identity != unresponsive
    vm.now_s += 0.4
    for number in range(2, 30):
        chosen = vm.packet(flow(number))
        vm.now_s += 0.2
        if chosen.identity == unresponsive:
            vm.packet(flow(number))
        else:
            vm.packet(flow(number), steering.Kind.DATA, chosen.token)
    assert [t.identity for t in vm.core.take_suspected()][:1] == [unresponsive]


def test_flow_is_bound_to_target_that_answered_first():
    vm = Vm(target(1), target(2))
    first = vm.packet(flow(1))
    vm.now_s += 0.2
    second = vm.packet(flow(1))
    assert second is not first
    assert vm.packet(flow(1), steering.Kind.DATA, first.token) is first
    # The late answer of the second target changes the token that the caller echoes.
    assert vm.packet(flow(1), steering.Kind.DATA, second.token) is first


def test_late_retransmission_does_not_move_open_flow():
    vm = Vm(target(1), target(2))
    chosen = vm.open(flow(1))
    vm.now_s += 0.6
    assert vm.packet(flow(1)) is chosen


def test_no_flow_is_placed_after_suspension_before_an_update():
    vm = Vm(target(1))
    vm.run(1.0)
    chosen = vm.open(flow(1))
    vm.now_s += 5.0
    vm.view.detect_suspension(vm.now_s)
    assert vm.packet(flow(2)) is steering.DROPPED_NOT_FRESH
    assert vm.packet(flow(1), steering.Kind.DATA, chosen.token) is chosen
    vm.apply_update(number=1)
    assert vm.packet(flow(2)).identity == "i-1"


def test_target_is_silent_only_if_no_connected_control_vm_receives_its_announcements():
    vm = Vm(target(1), target(2))
    vm.apply_update(target(1), target(2), name="c2:1", number=1)
    vm.apply_update(target(1), silent=("i-1",), number=1)
    vm.run(0.3, ("c1:1", "c2:1"))
    assert vm.view.is_alive("i-1")
    vm.view.connection_lost("c2:1")
    vm.run(0.3)
    assert not vm.view.is_alive("i-1")
    assert all(vm.packet(flow(n)).identity == "i-2" for n in range(9))


def test_silent_targets_are_used_if_all_are_silent():
    """In a partitioned zone targets need seconds to find a control VM that they can reach."""
    vm = Vm(target(1), target(2))
    vm.apply_update(target(1), target(2), silent=("i-1", "i-2"), number=1)
    vm.run(0.3)
    assert not vm.view.is_alive("i-1")
    assert vm.packet(flow(1)).identity in ("i-1", "i-2")


def test_silent_target_that_answers_openings_gets_flows():
    vm = Vm(target(1), target(2))
    answering = vm.open(flow(1)).identity
    vm.apply_update(target(1), target(2), silent=("i-1", "i-2"), number=1)
    vm.run(0.3)
    assert {vm.open(flow(n)).identity for n in range(2, 12)} == {answering}


def test_split_rule_distributes_flows_by_weight_and_independently_of_the_vm():
    rules = b"10.9.0.1:443 tcp ledger split=ledger:90,archive:10 # t: t"
    vm = Vm(target(1), target(2, "archive"), rules=rules)
    services = [vm.packet(flow(n)).service for n in range(2000)]
    assert 0.06 < services.count("archive") / 2000 < 0.14
    other = Vm(target(1), target(2, "archive"), rules=rules, seed=9)
    assert services == [other.packet(flow(n)).service for n in range(2000)]


def test_older_target_keeps_token_on_collision(monkeypatch):
    monkeypatch.setattr(hashing, "short_hash", lambda data: 7)
    vm = Vm(target(1, started_ms=2000), target(2, started_ms=1000))
    assert {vm.packet(flow(n)).identity for n in range(20)} == {"i-2"}


def test_load_returns_to_zero_when_flows_end_or_idle():
    vm = Vm(target(1))
    ended = vm.open(flow(1))
    vm.open(flow(2))
    vm.packet(flow(1), steering.Kind.END, ended.token)
    load = next(iter(vm.core._table.loads.values()))
    assert load.in_flight_count == 1
    vm.run(steering.IDLE_LOAD_TIMEOUT_S + 1.0)
    assert load.in_flight_count == 0
    vm.run(steering.RECORD_TIMEOUT_S)
    assert len(vm.core) == 0


def test_only_requests_in_progress_count_as_load():
    """Flows between requests and downloads being sent by the kernel occupy no slot."""
    vm = Vm(target(1))
    chosen = vm.open(flow(1))
    load = next(iter(vm.core._table.loads.values()))
    vm.packet(flow(1), steering.Kind.DATA, chosen.token, has_payload=True)
    assert load.in_flight_count == 1
    vm.finish(flow(1), chosen)
    vm.packet(flow(1), steering.Kind.DATA, chosen.token, acknowledged=9)
    assert load.in_flight_count == 0
    vm.packet(flow(1), steering.Kind.DATA, chosen.token, acknowledged=9, has_payload=True)
    assert load.in_flight_count == 1
    vm.packet(flow(1), steering.Kind.END, chosen.token, acknowledged=12)
    assert load.in_flight_count == 0


def test_least_open_spreads_over_equal_targets():
    """Join the shortest queue."""
    vm = Vm(*(target(n) for n in range(1, 8)))
    for number in range(70):
        vm.open(flow(number))
    assert {load.in_flight_count for load in vm.core._table.loads.values()} == {10}


@pytest.mark.parametrize("policy", ["random", "least_open"])
def test_suspected_targets_are_used_only_if_all_are_suspected(policy):
    choose = choosing.create(policy, random.Random(1))
    good, bad = choosing.Load(target=target(1)), choosing.Load(target=target(2))
    for _ in range(choosing.FAILURE_THRESHOLD):
        bad.record_failure(9.8, 10.0)
    assert all(choose(choosing.eligible([good, bad], 10.1), 10.1) is good for _ in range(20))
    assert choose(choosing.eligible([bad], 10.1), 10.1) is bad


def test_overloaded_target_in_partitioned_zone_is_preferred_to_unreachable_ones():
    """Outlier ejection must not exclude the only target that answers at all."""
    vm = Vm(*(target(n) for n in range(1, 8)))
    now_s, reachable = vm.now_s, "i-1"
    served = 0
    for number in range(200):
        vm.now_s = now_s + number * 0.05
        chosen = vm.packet(flow(number))
        # The reachable target is overloaded and loses every fifth opening.
        if chosen.identity == reachable and number % 5:
            vm.packet(flow(number), steering.Kind.DATA, chosen.token)
            served += number >= 100
        late = number - 4
        if late >= 0 and vm.core._flows[flow(late)].stage is flowstate.Stage.OPENING:
            vm.packet(flow(late))
    assert served >= 70


def test_lost_opening_does_not_suspect_target_that_answers_others():
    vm = Vm(target(1), target(2))
    lost = vm.packet(flow(1)).identity
    vm.now_s += 0.1
    while vm.open(flow(round(vm.now_s * 100))).identity != lost:
        vm.now_s += 0.01
    vm.now_s += 0.2
    vm.packet(flow(1))
    assert vm.core.take_suspected() == []


IDEMPOTENT_RULES = RULES.replace(b"tcp ledger", b"tcp ledger idempotent=yes")
RETRANSMIT_TIMES_S = (0.2, 0.6, 1.4)


def request(vm, key, chosen, sequence=1, acknowledged=1):
    """Sends a request of one packet."""
    return vm.packet(
        key,
        steering.Kind.DATA,
        chosen.token,
        sequence=sequence,
        acknowledged=acknowledged,
        has_payload=True,
    )


def retransmit(vm, key, chosen, times_s=RETRANSMIT_TIMES_S, **values):
    """Sends a request and its retransmissions; returns when the flow was reset, or None."""
    start_s = vm.now_s
    request(vm, key, chosen, **values)
    for time_s in times_s:
        vm.now_s = start_s + time_s
        if request(vm, key, chosen, **values) is steering.RESET_UNRESPONSIVE:
            return time_s
    return None


def open_elsewhere(vm, chosen, first=1000):
    """Opens a flow at another target, so that this VM's own link is known to work."""
    number = first
    while vm.packet(flow(number)).identity == chosen.identity:
        number += 1
    other = vm.core._flows[flow(number)].target
    vm.packet(flow(number), steering.Kind.DATA, other.token)


def retransmit_beside_others(vm, key, chosen, times_s=RETRANSMIT_TIMES_S):
    """As ``retransmit``, while another target answers."""
    start_s = vm.now_s
    request(vm, key, chosen)
    for number, time_s in enumerate(times_s):
        vm.now_s = start_s + time_s - 0.01
        open_elsewhere(vm, chosen, 1000 + 100 * number)
        vm.now_s = start_s + time_s
        if request(vm, key, chosen) is steering.RESET_UNRESPONSIVE:
            return time_s
    return None


def test_flow_to_a_target_that_fell_silent_is_reset_so_that_its_caller_reconnects():
    """Long flows whose target loses power: callers would wait until their time budget ends."""
    vm = Vm(target(1), target(2), rules=IDEMPOTENT_RULES)
    chosen = vm.open(flow(1))
    vm.now_s += 3.0
    assert retransmit_beside_others(vm, flow(1), chosen) == 1.4
    assert [t.identity for t in vm.core.take_suspected()] == [chosen.identity]
    assert vm.packet(flow(2)).identity != chosen.identity


def test_flow_without_a_record_is_reset_as_well():
    """The flow was opened through another entry VM."""
    vm = Vm(target(1), target(2), rules=IDEMPOTENT_RULES)
    chosen = vm.view.targets.find("i-1").target
    assert retransmit_beside_others(vm, flow(1), chosen) == 1.4


@pytest.mark.parametrize("evidence", ["opening", "announcements"])
def test_suspicion_alone_proves_nothing_about_an_open_flow(evidence):
    """One or two packets of a live target's flow can be lost while it is under suspicion."""
    vm = Vm(target(1), target(2), rules=IDEMPOTENT_RULES)
    chosen = vm.open(flow(1))
    if evidence == "opening":
        vm.now_s += 5.0
        number = 2
        while vm.packet(flow(number)).identity != chosen.identity:
            number += 1
        vm.now_s += 0.2
        vm.packet(flow(number))
    else:
        vm.apply_update(target(1), target(2), silent=(chosen.identity,), number=1)
        vm.run(0.3)
        vm.now_s += steering.choosing.ANSWER_VALIDITY_S
    assert retransmit_beside_others(vm, flow(1), chosen, (0.2, 0.6)) is None


def test_flow_that_must_not_be_repeated_is_never_reset():
    vm = Vm(target(1), target(2))
    chosen = vm.open(flow(1))
    assert retransmit_beside_others(vm, flow(1), chosen, (0.2, 0.6, 1.4, 3.0)) is None


def test_flow_is_kept_while_its_target_answers_others():
    """Only this flow's packets are lost, or its request is slow."""
    vm = Vm(target(1), target(2), rules=IDEMPOTENT_RULES)
    chosen = vm.open(flow(1))
    other_key = next(k for k in map(flow, range(2, 99)) if vm.open(k) is chosen)
    start_s = vm.now_s
    request(vm, flow(1), chosen)
    request(vm, other_key, chosen)
    for count, time_s in enumerate((*RETRANSMIT_TIMES_S, 3.0)):
        vm.now_s = start_s + time_s - 0.05
        open_elsewhere(vm, chosen, 1000 + 100 * count)
        vm.packet(other_key, steering.Kind.DATA, chosen.token, acknowledged=50 + count)
        vm.now_s = start_s + time_s
        assert request(vm, flow(1), chosen) is chosen


def test_flow_is_kept_while_its_response_arrives():
    vm = Vm(target(1), target(2), rules=IDEMPOTENT_RULES)
    chosen = vm.open(flow(1))
    request(vm, flow(1), chosen)
    for step in range(1, 10):
        vm.now_s += 0.3
        open_elsewhere(vm, chosen, 1000 + 100 * step)
        assert request(vm, flow(1), chosen, acknowledged=1 + step) is chosen


def test_copies_that_arrive_together_after_a_suspension_reset_nothing():
    vm = Vm(target(1), target(2), rules=IDEMPOTENT_RULES)
    chosen = vm.open(flow(1))
    request(vm, flow(1), chosen)
    vm.now_s += 4.0
    open_elsewhere(vm, chosen)
    for _ in range(5):
        assert request(vm, flow(1), chosen) is chosen


def test_silence_proves_nothing_while_packets_wait_for_the_link():
    vm = Vm(target(1), target(2), rules=IDEMPOTENT_RULES)
    chosen = vm.open(flow(1))
    start_s = vm.now_s
    request(vm, flow(1), chosen)
    for count, time_s in enumerate((*RETRANSMIT_TIMES_S, 3.0)):
        vm.core.record_link_busy(vm.now_s)
        vm.now_s = start_s + time_s
        open_elsewhere(vm, chosen, 1000 + 100 * count)
        assert request(vm, flow(1), chosen) is chosen


def test_reset_is_repeated_if_the_caller_missed_it():
    vm = Vm(target(1), target(2), rules=IDEMPOTENT_RULES)
    chosen = vm.open(flow(1))
    assert retransmit_beside_others(vm, flow(1), chosen) == 1.4
    vm.now_s += 1.6
    assert request(vm, flow(1), chosen) is steering.RESET_UNRESPONSIVE


events = st.tuples(
    st.sampled_from(["syn", "data", "fin", "rst", "drain"]), st.integers(0, 4), st.integers(0, 5)
)


@given(st.lists(events, max_size=60), st.integers(0, 99))
def test_bound_flow_never_changes_target(script, seed):
    """Includes retransmissions, tokens of unopened flows and targets that start to drain."""
    vm = Vm(*(target(n) for n in range(1, 5)), seed=seed)
    bound = {}
    for kind, number, extra in script:
        vm.now_s += 0.07
        key = flow(number)
        if kind == "syn":
            found = vm.packet(key)
            if key in bound:
                assert found.identity == bound[key].identity
        elif kind == "drain":
            vm.apply_update(target(1 + extra % 4, state=DRAINING, sequence=9), number=1)
        else:
            record = vm.core._flows.get(key)
            token = bound[key].token if key in bound else record.target.token if record else 0
            ending = {"data": "DATA", "fin": "END", "rst": "RESET"}[kind]
            found = vm.packet(key, steering.Kind[ending], token)
            if key in bound:
                assert found.identity == bound[key].identity
            elif record:
                bound[key] = found
            if kind != "data":
                bound.pop(key, None)


def test_rules_are_found_by_packed_address_and_port():
    vm = Vm(target(1))
    assert vm.view.rules.find(packets.TCP, LEDGER[:4], LEDGER[4:]).service == "ledger"


def evacuate(vm, *zones):
    vm.apply_update(
        number=1, places_revision=vm.view.places_revision + 1, evacuated_zones=tuple(zones)
    )


def test_targets_of_an_evacuated_zone_get_no_openings_and_keep_their_flows():
    vm = Vm(target(1, zone="a"), target(2, zone="b"))
    first = next(n for n in range(99) if vm.open(flow(n)).identity == "i-1")
    evacuate(vm, "a")
    assert {vm.open(flow(n)).identity for n in range(100, 200)} == {"i-2"}
    assert vm.packet(flow(first), steering.Kind.DATA, target(1).token).identity == "i-1"
    assert Vm(target(1)).packet(flow(1), steering.Kind.DATA, target(1).token).identity == "i-1"
    assert vm.core.counters.events["openings_kept_off_zone"] == 100
    evacuate(vm)
    # A returned zone gets more and more openings over this time.
    vm.run(selection.RAMP_S)
    assert "i-1" in {vm.open(flow(n)).identity for n in range(200, 300)}


def test_target_that_starts_in_an_evacuated_zone_gets_no_openings():
    vm = Vm(target(2, zone="b"))
    evacuate(vm, "a")
    vm.apply_update(target(1, zone="a"), number=1)
    assert {vm.open(flow(n)).identity for n in range(50)} == {"i-2"}


def test_service_with_targets_in_evacuated_zones_alone_is_refused_at_once():
    vm = Vm(target(1, zone="a"))
    evacuate(vm, "a")
    assert vm.packet(flow(1)) is selection.REFUSED_EVACUATED
    assert selection.REFUSED_EVACUATED in steering.REFUSALS
    assert vm.packet(flow(2), route=ARCHIVE) is steering.REFUSED_NO_TARGET


def test_queued_openings_are_refused_when_the_last_zone_is_evacuated():
    vm = Vm(target(1, zone="a", slot_count=1))
    queued = next(n for n in range(50) if vm.packet(flow(n)) is steering.WAITING)
    evacuate(vm, "a")
    assert vm.core.take_released(vm.now_s) == []
    rejected = vm.core.take_rejected()
    assert flow(queued) in [packet.flow for packet, _ in rejected]
    assert {reason for _, reason in rejected} == {selection.REFUSED_EVACUATED}


def test_remaining_zones_without_a_free_place_do_not_open_the_evacuated_one():
    vm = Vm(target(1, zone="a"), target(2, zone="b", slot_count=1))
    evacuate(vm, "a")
    found = [vm.packet(flow(n)) for n in range(50)]
    assert steering.WAITING in found
    assert all(getattr(f, "identity", "i-2") == "i-2" for f in found)


@pytest.mark.parametrize("after_s", [0.01, 0.2])
def test_repeated_opening_is_kept_off_a_zone_that_was_evacuated_meanwhile(after_s):
    vm = Vm(target(1, zone="a"), target(2, zone="b"))
    keys = [flow(n) for n in range(50)]
    first = [key for key in keys if vm.packet(key).identity == "i-1"]
    evacuate(vm, "a")
    vm.now_s += after_s
    assert {vm.packet(key, retransmit_count=1).identity for key in first} == {"i-2"}
    evacuate(vm, "a", "b")
    vm.now_s += after_s
    assert vm.packet(first[0], retransmit_count=2) is selection.REFUSED_EVACUATED
    evacuate(vm, "b")
    assert vm.packet(first[0], retransmit_count=2).identity == "i-1"


def test_flow_that_its_first_target_answered_is_not_opened_a_second_time():
    vm = Vm(target(1, zone="a"), target(2, zone="b", slot_count=1))
    keys = [flow(n) for n in range(50)]
    first = [key for key in keys if vm.packet(key).identity == "i-1"]
    evacuate(vm, "a")
    while (key := first.pop()) and vm.packet(key, retransmit_count=1) is not steering.WAITING:
        pass
    sent = vm.packet(key, steering.Kind.DATA, target(1).token, sequence=1, has_payload=True)
    assert sent.identity == "i-1"
    vm.run(0.5)
    assert key not in [packet.flow for packet, _ in vm.core.take_released(vm.now_s)]


@pytest.mark.parametrize("after_s", [0.05, 0.2])
def test_repeated_opening_is_kept_off_a_target_that_leaves(after_s):
    vm = Vm(target(1), target(2))
    chosen = vm.packet(flow(1))
    leaving = target(int(chosen.identity[-1]), state=DRAINING, sequence=5)
    vm.apply_update(leaving, number=1)
    vm.now_s += after_s
    assert vm.packet(flow(1), retransmit_count=1).identity != chosen.identity


@pytest.mark.parametrize("after_s", [0.05, 0.2])
def test_repeated_opening_is_not_sent_to_the_name_of_a_target_that_has_started_again(after_s):
    """The new incarnation may be cold; it gets openings that are placed on it only."""
    vm = Vm(target(1))
    old = vm.packet(flow(1))
    vm.apply_update(target(1, started_ms=5000), number=1)
    vm.now_s += after_s
    found = vm.packet(flow(1), retransmit_count=1)
    assert (found.identity, found.started_ms) == (old.identity, 5000)


def test_handshake_with_a_target_that_had_restarted_unnoticed_binds_the_flow_to_it():
    """Guards against a reset by a target that does not hold the flow.

    The opening carried the token of the earlier incarnation; a copy went to another target.
    """
    vm = Vm(target(1), target(2))
    old = vm.packet(flow(1))
    number = int(old.identity[-1])
    vm.apply_update(target(number, started_ms=5000), number=1)
    vm.now_s += 0.2
    vm.apply_update(target(number, started_ms=5000, state=DRAINING, sequence=2), number=1)
    assert vm.packet(flow(1), retransmit_count=1).identity != old.identity
    found = vm.packet(flow(1), steering.Kind.DATA, old.token, acknowledged=1)
    assert (found.identity, found.started_ms) == (old.identity, 5000)


def test_entry_vm_that_has_just_started_finds_a_target_by_the_token_of_an_earlier_incarnation():
    """A flow may have been opened with it at the incarnation that runs."""
    earlier = target(1, started_ms=1000)
    vm = Vm(target(1, started_ms=5000, former_starts=(1000,)))
    found = vm.packet(flow(1), steering.Kind.DATA, earlier.token, has_payload=True)
    assert (found.identity, found.started_ms) == ("i-1", 5000)


def test_requests_count_as_load_of_the_incarnation_that_answers_them():
    vm = Vm(target(1))
    old = vm.open(flow(1))
    vm.apply_update(target(1, started_ms=5000), number=1)
    vm.packet(flow(1), steering.Kind.DATA, old.token, acknowledged=1)
    vm.packet(flow(1), steering.Kind.DATA, old.token, acknowledged=1, sequence=1, has_payload=True)
    load = vm.core._table.find_listed(old.token)
    assert (load.target.started_ms, load.in_flight_count) == (5000, 1)


ARCHIVE_RULES = RULES.replace(b"tcp ledger", b"tcp archive")
SPLIT_RULES = RULES.replace(b"tcp ledger", b"tcp ledger split=ledger:1,archive:99")


def open_then_change(content, copy_s):
    """Sends an opening, changes the rules, and sends a copy of the opening."""
    vm = Vm(target(1), target(2), target(3, "archive"))
    vm.packet(flow(1))
    vm.apply_update(number=2, content=content)
    vm.now_s += copy_s
    return vm, vm.packet(flow(1), retransmit_count=1)


@pytest.mark.parametrize("copy_s", [0.05, 0.2, 0.6])
def test_copy_of_an_opening_follows_the_rules_in_force(copy_s):
    """Guards against a request that runs by a rule which a later rule file has dropped."""
    vm, found = open_then_change(b"10.9.0.1:444 tcp archive # t: t", copy_s)
    assert found is steering.REFUSED_NO_ROUTE
    assert len(vm.core) == 0
    _, found = open_then_change(ARCHIVE_RULES, copy_s)
    assert found.service == "archive"


@pytest.mark.parametrize("copy_s", [0.05, 0.2, 0.6])
def test_copy_of_an_opening_stays_with_a_service_that_its_rule_still_names(copy_s):
    _, found = open_then_change(SPLIT_RULES, copy_s)
    assert found.service == "ledger"


def test_copy_of_the_opening_of_an_open_flow_is_sent_to_its_target_after_a_change():
    vm = Vm(target(1), target(2), target(3, "archive"))
    chosen = vm.open(flow(1))
    vm.apply_update(number=2, content=ARCHIVE_RULES)
    assert vm.packet(flow(1), retransmit_count=1) is chosen
    assert vm.packet(flow(1), steering.Kind.DATA, chosen.token) is chosen


def test_target_that_restarted_often_with_an_earlier_clock_is_not_taken_over():
    """Its earlier starts are limited to the latest ones; the last one to run is not among them."""
    starts = range(5000, 5000 + roster.FORMER_STARTS_MAX)
    vm = Vm(target(1, started_ms=1000, order_ms=9000, former_starts=tuple(starts)))
    old = vm.open(flow(1))
    vm.apply_update(target(1, started_ms=9500, former_starts=tuple(starts)), number=1)
    found = vm.packet(flow(1), steering.Kind.DATA, old.token, acknowledged=1)
    assert (found.identity, found.address) == (old.identity, old.address)
