"""The coordinator: gossip of announcements, completeness of the roster, updates to subscribers."""

import attrs
import pytest
import test_steering
from hypothesis import given
from hypothesis import strategies as st
from test_roster import target
from test_steering import Vm, flow

from zinniaspoke import control, coordinator, errors, feed, roster, siblings

DRAINING, ENDED = roster.State.DRAINING, roster.State.ENDED
INTERVAL_S = 1.2


def make(name="a:1", now_s=0.0):
    targets = roster.Roster(silent_after_s=3 * INTERVAL_S, retain_s=60.0)
    return coordinator.Coordinator(
        name=name,
        seeds=("a:1", "b:1", "c:1"),
        targets=targets,
        announcement_interval_s=INTERVAL_S,
        now_s=now_s,
    )


def round_trip(update, now_s=0.0):
    """Encodes and decodes an update."""
    return feed.decode(feed.encode(update, now_s), "peer", now_s)


def test_change_is_gossiped_at_once_and_a_mere_renewal_with_the_next_batch():
    vm = make()
    vm.announce(target(sequence=1), 0.05)
    assert len(vm.take_gossip(0.05).observations) == 1
    vm.announce(target(sequence=2), 0.1)
    assert vm.take_gossip(0.1) is None
    assert len(vm.take_gossip(0.1 + coordinator.GOSSIP_INTERVAL_S).observations) == 1
    vm.announce(target(sequence=3, state=DRAINING), 0.5)
    assert vm.take_gossip(0.5).observations[0].target.state is DRAINING


def test_renewals_are_not_logged_as_changes():
    vm = make()
    vm.announce(target(sequence=1), 0.0)
    vm.announce(target(sequence=2), 1.0)
    vm.announce(target(sequence=3), 2.0)
    assert len(vm.notices) == 1


def test_order_of_incarnations_is_kept_on_the_way_to_subscribers():
    vm = make()
    record = attrs.evolve(target(started_ms=7000), order_ms=9001)
    vm.targets.observe(record, 0.0, 0.0)
    received = round_trip(vm.full_update(0.0)).observations[0].target
    assert (received.started_ms, received.order_ms) == (7000, 9001)


def test_deregistration_at_one_control_vm_reaches_the_subscribers_of_another():
    first, second, subscriber = make("a:1"), make("b:1"), coordinator.Subscriber()
    for vm in (first, second):
        vm.announce(target(), 0.0)
    second.update_for(subscriber, 0.0)
    first.take_gossip(0.0)
    first.deregister("i-1", 0.1)
    second.receive_gossip(round_trip(first.take_gossip(0.1), 0.1), 0.1)
    update = second.update_for(subscriber, 0.1)
    assert [o.target.state for o in update.observations] == [ENDED]


def test_deregistration_of_an_unknown_target_is_acknowledged_only_once_the_roster_is_complete():
    vm = make()
    assert not vm.deregister("i-9", 0.1)
    assert vm.deregister("i-9", 2 * INTERVAL_S + 0.1)
    vm.announce(target(), 3.0)
    assert vm.deregister("i-1", 3.1)


def test_gossip_is_not_forwarded_to_third_control_vms():
    first, second = make("a:1"), make("b:1")
    first.announce(target(), 0.0)
    second.receive_gossip(round_trip(first.take_gossip(0.0)), 0.0)
    assert len(second.targets) == 1
    assert second.take_gossip(9.0) is None


def test_subscriber_gets_all_targets_at_first_then_changes_then_heartbeats():
    vm, subscriber = make(), coordinator.Subscriber()
    vm.announce(target("i-1"), 0.0)
    vm.announce(target("i-2", address=("10.0.0.2", 80)), 0.0)
    assert len(vm.update_for(subscriber, 0.0).observations) == 2
    assert vm.update_for(subscriber, 0.1) is None
    vm.announce(target("i-2", address=("10.0.0.2", 80), sequence=2, state=DRAINING), 0.2)
    assert [o.target.identity for o in vm.update_for(subscriber, 0.2).observations] == ["i-2"]
    assert vm.update_for(subscriber, 0.2 + coordinator.HEARTBEAT_INTERVAL_S).observations == ()


def test_roster_is_complete_after_two_intervals_or_when_a_peer_has_a_complete_one():
    vm, old = make(now_s=0.0), make("b:1", now_s=-100.0)
    assert not vm.is_complete(2 * INTERVAL_S - 0.1)
    vm.receive_gossip(round_trip(old.full_update(0.0)), 0.0)
    assert vm.is_complete(0.1)
    assert make().is_complete(2 * INTERVAL_S + 0.1)


def test_age_of_a_gossiped_announcement_counts_as_silence():
    vm, peer = make("a:1"), make("b:1")
    peer.announce(target(), 0.0)
    vm.receive_gossip(round_trip(peer.full_update(10.0), 10.0), 10.0)
    assert vm.targets.find("i-1").is_silent


observations = st.builds(
    feed.Observation,
    target=st.builds(
        target,
        identity=st.text(min_size=1, max_size=8),
        started_ms=st.integers(0, 2**53),
        sequence=st.integers(0, 2**40),
        state=st.sampled_from(list(roster.State)),
    ),
    age_s=st.floats(0, 100).map(lambda x: round(x, 2)),
    is_silent=st.booleans(),
)


@given(st.lists(observations, max_size=4), st.one_of(st.none(), st.just(b"rules")), st.booleans())
def test_update_round_trip(sent, content, flag):
    update = feed.Update(
        observations=tuple(sent),
        controls=("a:1", "b:2"),
        number=2**40,
        content=content,
        is_current=flag,
        is_complete=not flag,
    )
    assert round_trip(update) == update


@given(st.binary(max_size=300))
def test_invalid_bytes_are_refused(data):
    with pytest.raises(errors.DatagramError):
        feed.decode(data, "peer", 0.0)


@pytest.mark.parametrize("body", [b"[]", b"5", b'{"targets":[[1]]}', b'{"targets":5}', b"null"])
def test_invalid_json_is_refused(body):
    with pytest.raises(errors.DatagramError):
        feed.decode(body, "peer", 0.0)


def connect(vm, name, zone="a", state=siblings.State.READY, now_s=0.0):
    subscriber = coordinator.Subscriber(name=name, zone=zone)
    vm.record_subscriber_state(subscriber, state, now_s)
    return subscriber


def test_states_of_entry_vms_go_to_those_that_have_to_stop_alone_and_then_as_changes():
    vm = make()
    others = [connect(vm, f"vm-{n}") for n in range(5)]
    own = connect(vm, "own")
    assert vm.update_for(own, 0.0).entry_vms is None
    vm.record_subscriber_state(own, siblings.State.STOPPING, 1.0)
    first = vm.update_for(own, 1.0)
    assert len(first.entry_vms) == 6
    vm.record_subscriber_state(others[3], siblings.State.LEFT, 1.1)
    second = round_trip(vm.update_for(own, 1.1))
    assert [(s.name, s.state) for s in second.entry_vms] == [("vm-3", siblings.State.LEFT)]
    assert vm.update_for(others[0], 1.1).entry_vms is None
    assert vm.update_for(own, 1.2) is None


@pytest.mark.parametrize("count", [4, 40, 400])
def test_updates_to_an_entry_vm_do_not_grow_with_the_number_of_entry_vms(count):
    """Rolling restart of a zone: every other entry VM goes through all states."""
    vm = make()
    own = connect(vm, "own")
    vm.update_for(own, 0.0)
    others = [connect(vm, f"vm-{n}") for n in range(count)]
    size_bytes = 0
    for step in range(count):
        now_s = 1.0 + step * 4.0 / count
        for state in siblings.State:
            vm.record_subscriber_state(others[step], state, now_s)
            update = vm.update_for(own, now_s)
            size_bytes += 0 if update is None else len(feed.encode(update, now_s))
    # Ten heartbeats of 0.4 s.
    assert size_bytes <= 11 * HEARTBEAT_BYTES


HEARTBEAT_BYTES = 100


def test_heartbeat_without_changes_is_small_and_names_control_vms_only_when_they_change():
    vm = make()
    own = connect(vm, "own")
    assert vm.update_for(own, 0.0).controls == ("a:1", "b:1", "c:1")
    heartbeat = vm.update_for(own, 1.0)
    assert heartbeat.controls == ()
    assert len(feed.encode(heartbeat, 1.0)) <= HEARTBEAT_BYTES
    vm.seeds = ("a:1", "d:1")
    assert vm.update_for(own, 2.0).controls == ("a:1", "d:1")


def test_target_that_has_left_is_not_used_again_after_a_control_vm_restarts():
    """Its record comes back from another control VM, and a delayed announcement changes nothing."""
    other = make("b:1")
    other.announce(target(sequence=5, state=DRAINING), 0.0)
    other.deregister("i-1", 1.0)
    restarted = make("a:1", now_s=2.0)
    restarted.receive_gossip(round_trip(other.full_update(2.0), 2.0), 2.0)
    for step in range(20):
        restarted.announce(target(sequence=4), 2.0 + step)
    assert restarted.targets.find("i-1").target.state is ENDED


def test_target_that_has_left_is_not_used_again_by_an_entry_vm_that_knew_it():
    """All control VMs have restarted and one of them takes a delayed announcement."""
    known = test_steering.target
    vm = Vm(known(1), known(2), known(3, state=ENDED, sequence=9))
    restarted = make("a:1", now_s=2.0)
    restarted.announce(known(3, sequence=4), 2.0)
    vm.view.apply_update("c1:1", restarted.full_update(2.0), vm.now_s)
    assert vm.view.targets.find("i-3").target.state is ENDED
    assert all(vm.packet(flow(n)).identity != "i-3" for n in range(30))


def view(revision, *zones):
    return control.View(evacuated=frozenset(zones), places_revision=revision)


def test_subscribers_are_sent_evacuated_zones_at_once_and_only_once():
    vm = make()
    holder = connect(vm, "vm-1")
    vm.update_for(holder, 1.0)
    assert vm.update_for(holder, 1.1) is None
    vm.take_view(view(1, "b", "a"), 1.1)
    sent = round_trip(vm.update_for(holder, 1.1))
    assert (sent.places_revision, sent.evacuated_zones) == (1, ("a", "b"))
    assert vm.update_for(holder, 1.2) is None
    heartbeat = round_trip(vm.update_for(holder, 1.2 + coordinator.HEARTBEAT_INTERVAL_S))
    assert (heartbeat.places_revision, heartbeat.evacuated_zones) == (1, None)


def test_end_of_an_evacuation_is_sent_with_its_age_for_a_while():
    vm = make()
    vm.take_view(view(2, "a", "b"), 1.0)
    vm.take_view(view(3, "b"), 5.0)
    sent = round_trip(vm.update_for(connect(vm, "vm-1"), 6.5))
    assert (sent.evacuated_zones, sent.returned_zones) == (("b",), (("a", 1.5),))
    late = vm.update_for(connect(vm, "vm-2"), 5.0 + coordinator.RETURN_KEEP_S)
    assert late.returned_zones == ()
    vm.take_view(view(4, "a", "b"), 7.0)
    assert vm.update_for(connect(vm, "vm-3"), 7.5).returned_zones == ()


def test_updates_do_not_grow_before_the_first_order():
    vm = make()
    holder = connect(vm, "vm-1")
    data = feed.encode(vm.update_for(holder, 0.0), 0.0)
    assert b"places" not in data
    assert b"zones" not in data
    assert round_trip(vm.update_for(holder, 1.0)).evacuated_zones is None
