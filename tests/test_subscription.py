"""Selection of control VMs and merging of their updates."""

import random

import pytest
from test_steering import Vm, target

from zinniaspoke import errors, events, feed, siblings, subscription


def make(*seeds, now_s=0.0):
    return subscription.Subscription(
        seeds=seeds, contact_s=4.0, retain_s=60.0, rng=random.Random(1), now_s=now_s
    )


def test_number_of_subscribed_control_vms_is_limited():
    view = make(*(f"c{n}:1" for n in range(9)))
    assert len(view.select_control_vms(0.0)) == subscription.SUBSCRIPTION_COUNT


def test_control_vms_without_leader_contact_are_replaced_by_all_others_in_turn():
    names = tuple(f"c{n}:1" for n in range(1, 8))
    view = make("c1:1", "c2:1")
    subscribed, now_s = set(), 0.0
    while now_s < 2 * subscription.LEADER_CONTACT_TIMEOUT_S + 1.0:
        view.apply_update("c1:1", feed.Update(controls=names, is_current=True), now_s)
        now_s += 0.1
        subscribed |= set(view.select_control_vms(now_s))
        assert "c1:1" in view.select_control_vms(now_s)
    assert subscribed == set(names)


def test_not_ready_without_rules():
    vm = Vm()
    vm.apply_update(target(1), number=0)
    assert not vm.view.is_ready(vm.now_s)


def test_ready_after_a_current_control_vm_confirmed_rules_and_table():
    vm = Vm()
    vm.apply_update(target(1), number=1, content=b"10.9.0.1:443 tcp ledger # t: t")
    assert vm.view.is_ready(vm.now_s)


def test_unconfirmed_rules_are_accepted_after_timeout():
    vm = Vm()
    vm.apply_update(
        target(1), number=1, content=b"10.9.0.1:443 tcp ledger # t: t", is_current=False
    )
    assert not vm.view.is_ready(vm.now_s)
    assert vm.view.is_ready(vm.now_s + subscription.CONFIRMATION_TIMEOUT_S + 0.1)


@pytest.mark.parametrize(
    ("services", "is_ready"), [(("ledger",), False), (("ledger", "archive"), True)]
)
def test_incomplete_table_suffices_if_each_service_has_a_target(services, is_ready):
    """After a restart of all control VMs, targets announce themselves one by one."""
    vm = Vm()
    found = [target(n, service) for n, service in enumerate(services, 1)]
    rules = b"10.9.0.1:443 tcp ledger # t: t\n10.9.0.1:444 tcp archive # t: t"
    vm.apply_update(*found, number=1, content=rules, is_complete=False)
    assert vm.view.is_ready(vm.now_s) is is_ready


def test_rule_number_never_decreases():
    vm = Vm()
    vm.apply_update(number=5, content=b"10.9.0.1:443 tcp ledger # t: t")
    vm.apply_update(number=4, content=b"10.9.0.1:443 tcp archive # t: t")
    assert vm.view.rules.number == 5


def test_ended_targets_are_retained_for_their_flows_and_then_removed():
    vm = Vm(target(1), target(2))
    vm.apply_update(target(1, state=subscription.roster.State.ENDED, sequence=9), number=1)
    vm.run(50.0)
    assert vm.view.targets.find("i-1") is not None
    vm.run(20.0)
    assert vm.view.targets.find("i-1") is None
    assert vm.view.targets.find("i-2") is not None


def report(name, state, since_s):
    sibling = siblings.Sibling(name=name, state=state, since_s=since_s)
    return feed.Update(is_current=True, entry_vms=(sibling,))


def test_states_of_siblings_are_unknown_before_a_report_and_then_merged_by_name():
    view = make("c1:1", "c2:1")
    view.apply_update("c1:1", feed.Update(is_current=True), 1.0)
    assert view.entry_vms(1.0) is None
    view.apply_update("c1:1", report("vm-1", siblings.State.READY, 0.5), 1.0)
    view.apply_update("c1:1", report("vm-2", siblings.State.READY, 0.5), 1.1)
    view.apply_update("c2:1", report("vm-1", siblings.State.LEFT, 1.1), 1.2)
    states = {name: s.state for name, s in view.entry_vms(1.2).items()}
    assert states == {"vm-1": siblings.State.LEFT, "vm-2": siblings.State.READY}


def test_lost_entry_vm_expires_at_the_receiver():
    view = make("c1:1")
    view.apply_update("c1:1", report("vm-1", siblings.State.LOST, 1.0), 1.0)
    assert "vm-1" in view.entry_vms(1.0 + siblings.LOST_RETENTION_S)
    assert view.entry_vms(1.1 + siblings.LOST_RETENTION_S) == {}


def test_control_vms_that_an_old_list_does_not_name_stay_known():
    """Names are sent only when they change, so an old list must not replace a newer one."""
    view = make("c1:1")
    newer = ("c1:1", "c2:1", "c3:1")
    view.apply_update("c1:1", feed.Update(controls=newer, is_current=True), 0.0)
    assert set(view.select_control_vms(0.1)) == set(newer)
    view.apply_update("c2:1", feed.Update(controls=("c1:1", "c2:1"), is_current=True), 0.2)
    for name in newer:
        view.apply_update(name, feed.Update(is_current=True), 0.3)
    assert set(view.select_control_vms(0.4)) == set(newer)


def test_control_vms_stay_known_when_all_connections_are_lost():
    view = make("c1:1")
    names = ("c1:1", "c2:1", "c3:1")
    view.apply_update("c1:1", feed.Update(controls=names, is_current=True), 0.0)
    view.connection_lost("c1:1")
    assert set(view.select_control_vms(0.5)) == set(names)


RULES = {"number": 1, "content": b"10.9.0.1:443 tcp ledger # t: t"}


def places(revision, *zones, returned=(), is_current=True):
    return feed.Update(
        is_current=is_current,
        places_revision=revision,
        evacuated_zones=zones,
        returned_zones=returned,
    )


def test_evacuated_zones_follow_the_highest_revision_only():
    view = make("c1:1", "c2:1")
    view.apply_update("c1:1", places(2, "a", "b"), 1.0)
    assert (view.evacuated_zones, view.places_revision) == ({"a", "b"}, 2)
    revision = view.revision
    view.apply_update("c2:1", places(1, "a"), 1.1)
    view.apply_update("c2:1", feed.Update(is_current=True), 1.2)
    assert (view.evacuated_zones, view.revision) == ({"a", "b"}, revision)
    view.apply_update("c2:1", places(3, "b"), 2.0)
    assert view.evacuated_zones == {"b"}
    assert view.revision > revision
    changes = [(e, peer) for e, peer, _ in view.pending_events if e.number in (211, 212)]
    evacuated, returned = events.ZONE_EVACUATED, events.ZONE_RETURNED
    assert changes == [(evacuated, "a"), (evacuated, "b"), (returned, "a")]


def test_end_of_an_evacuation_is_dated_at_the_latest_estimate():
    view = make("c1:1")
    view.apply_update("c1:1", places(1, "a", "b", "c"), 10.0)
    view.apply_update("c1:1", places(2, "b", returned=(("a", 1.5), ("d", 4.0))), 20.0)
    # c is not listed: a control VM that restarted does not know since when.
    assert view.returned_s == {"a": 18.5, "c": 20.0, "d": 16.0}
    view.apply_update("c1:1", places(3, "a", "b", returned=(("d", 1.0),)), 21.0)
    assert view.returned_s == {"c": 20.0, "d": 20.0}


def test_not_ready_while_the_evacuated_zones_of_a_current_control_vm_are_not_known():
    vm = Vm()
    vm.apply_update(target(1), places_revision=4, **RULES)
    assert not vm.view.is_ready(vm.now_s)
    vm.apply_update(places_revision=4, evacuated_zones=("a",), number=1)
    assert vm.view.is_ready(vm.now_s)


def test_cut_off_zone_becomes_ready_without_confirmed_evacuations_after_the_timeout():
    vm = Vm()
    vm.apply_update(target(1), places_revision=4, is_current=False, **RULES)
    assert not vm.view.is_ready(vm.now_s)
    assert vm.view.is_ready(vm.now_s + subscription.CONFIRMATION_TIMEOUT_S + 0.1)


def test_evacuated_zones_are_taken_with_rules_that_cannot_be_read():
    view = make("c1:1")
    update = feed.Update(number=1, content=b"?", places_revision=1, evacuated_zones=("a",))
    with pytest.raises(errors.RuleError):
        view.apply_update("c1:1", update, 1.0)
    assert view.evacuated_zones == {"a"}
