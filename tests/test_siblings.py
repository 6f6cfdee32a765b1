"""Rolling stops of the entry VMs of a zone."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import feed, siblings

READY, STOPPING = siblings.State.READY, siblings.State.STOPPING
LEFT, LOST, STARTING = siblings.State.LEFT, siblings.State.LOST, siblings.State.STARTING
NOW_S = 100.0
OWN = "vm-2"


def sibling(name, state, age_s=20.0):
    return siblings.Sibling(name=name, state=state, since_s=NOW_S - age_s)


def may_leave(*others, stopping_s=NOW_S - 0.5):
    known = {s.name: s for s in (*others, sibling(OWN, STOPPING, NOW_S - stopping_s))}
    return siblings.may_leave(OWN, stopping_s, known, NOW_S)


@pytest.mark.parametrize(
    ("states", "expected"),
    [
        ([], True),
        ([READY], True),
        ([LOST], True),
        ([READY, READY], True),
        ([READY, LOST], False),
        ([READY, LEFT], False),
        ([READY, STARTING], False),
        ([LOST, LOST], True),
        ([READY, READY, LOST], True),
        ([READY, LOST, LOST], False),
    ],
)
def test_stop_waits_if_less_than_half_of_the_zone_would_stay_in_rotation(states, expected):
    others = [sibling(f"vm-{n + 5}", state) for n, state in enumerate(states)]
    assert may_leave(*others) is expected


def test_vm_that_has_just_become_ready_is_not_in_rotation_yet():
    others = [sibling("vm-5", READY), sibling("vm-6", READY, siblings.ROTATION_DELAY_S / 2)]
    assert not may_leave(*others)


def test_vms_leave_in_the_order_in_which_they_were_asked_to_stop():
    assert may_leave(sibling("vm-1", READY), sibling("vm-5", STOPPING, 0.2))
    assert not may_leave(sibling("vm-1", READY), sibling("vm-5", STOPPING, 0.8))


@given(
    st.lists(st.tuples(st.sampled_from(list(siblings.State)), st.integers(0, 9)), min_size=1),
)
def test_simultaneous_stops_leave_at_least_half_of_the_zone_in_rotation(states):
    """Each VM decides on its own, from the same states; if none stays, other zones take over."""
    known = {f"vm-{n}": sibling(f"vm-{n}", state, age) for n, (state, age) in enumerate(states)}
    stopping = [s for s in known.values() if s.state is STOPPING]
    leaving = [s for s in stopping if siblings.may_leave(s.name, s.since_s, known, NOW_S)]
    in_rotation = [
        s
        for s in known.values()
        if s.state is STOPPING
        or (s.state is READY and NOW_S - s.since_s >= siblings.ROTATION_DELAY_S)
    ]
    stay_count = len(in_rotation) - len(leaving)
    if leaving and stay_count:
        assert 2 * stay_count >= len(known)


def test_directory_revision_changes_with_states_only_and_lost_vms_expire():
    directory = siblings.Directory()
    directory.record("a", "vm-1", READY, 1.0)
    directory.record("b", "vm-9", READY, 1.0)
    revision = directory.revision("a")
    directory.record("a", "vm-1", READY, 2.0)
    assert directory.revision("a") == revision
    directory.record("a", "vm-1", LOST, 3.0)
    assert directory.revision("a") == revision + 1
    directory.tick(3.0 + siblings.LOST_RETENTION_S + 0.1)
    assert directory.changed_since("a", 0) == ()
    # Receivers expire lost VMs themselves, see test_lost_entry_vm_expires_at_the_receiver.
    assert directory.revision("a") == revision + 1
    assert [s.name for s in directory.changed_since("b", 0)] == ["vm-9"]
    assert (directory.changed_since("c", 0), directory.revision("c")) == ((), 0)


def test_merge_ignores_lost_if_one_control_vm_is_connected():
    lost, ready = sibling("vm-1", LOST, 0.1), sibling("vm-1", READY, 9.0)
    assert siblings.merge([(lost,), (ready,)]) == {"vm-1": ready}
    assert siblings.merge([(ready,), (lost,)]) == {"vm-1": ready}
    left = sibling("vm-1", LEFT, 0.2)
    assert siblings.merge([(ready,), (left,)]) == {"vm-1": left}


def test_entry_vms_round_trip_with_their_ages():
    sent = feed.Update(entry_vms=(sibling("vm-1", STOPPING, 1.5),))
    (received,) = feed.decode(feed.encode(sent, NOW_S), "c1:1", 7.0).entry_vms
    assert (received.name, received.state, received.since_s) == (
        "vm-1",
        STOPPING,
        pytest.approx(5.5),
    )
    assert feed.decode(feed.encode(feed.Update(), NOW_S), "c1:1", 7.0).entry_vms is None
