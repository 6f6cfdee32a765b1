"""The coordinator: gossip of announcements, completeness of the roster, updates to subscribers."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_roster import target

from zinniaspoke import coordinator, errors, feed, roster

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
