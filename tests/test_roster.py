"""Roster: late and repeated announcements, ended incarnations, reused addresses, expiry."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import roster

READY, DRAINING, ENDED = roster.State.READY, roster.State.DRAINING, roster.State.ENDED


def target(identity="i-1", started_ms=1000, sequence=1, state=READY, **others):
    values = {"service": "ledger", "address": ("10.0.0.1", 80), "zone": "a", "slot_count": 2}
    return roster.Target(
        identity=identity,
        started_ms=started_ms,
        sequence=sequence,
        state=state,
        **{**values, **others},
    )


def make_roster(*targets):
    table = roster.Roster(silent_after_s=3.0, retain_s=60.0)
    for record in targets:
        table.observe(record, 0.0, 0.0)
    return table


def state_of(table, identity="i-1"):
    return table.find(identity).target.state


def test_late_announcement_changes_nothing():
    table = make_roster(target(sequence=5))
    assert table.observe(target(sequence=4), 1.0, 1.0) is roster.STALE
    assert table.find("i-1").target.sequence == 5


def test_draining_incarnation_does_not_become_ready_again():
    table = make_roster(target(sequence=5), target(sequence=6, state=DRAINING))
    assert table.observe(target(sequence=9), 1.0, 1.0) is roster.STALE
    assert state_of(table) is DRAINING


def test_delayed_announcement_does_not_revive_an_ended_incarnation():
    table = make_roster(target(sequence=5, state=DRAINING))
    table.deregister("i-1", 1.0)
    table.observe(target(sequence=7, state=DRAINING), 1.5, 1.5)
    assert state_of(table) is ENDED


def test_restart_under_the_same_name_is_a_new_incarnation():
    table = make_roster(target(sequence=900, state=DRAINING))
    table.deregister("i-1", 1.0)
    old_token = table.find("i-1").target.token
    table.observe(target(started_ms=2000, sequence=0), 2.0, 2.0)
    assert state_of(table) is READY
    assert table.find("i-1").target.token != old_token


def test_later_incarnation_at_an_address_ends_the_earlier_one_in_either_order():
    old, new = target("i-1", 1000), target("i-2", 2000, service="archive")
    for order in ((old, new), (new, old)):
        table = make_roster(*order)
        assert (state_of(table, "i-1"), state_of(table, "i-2")) == (ENDED, READY)
        table.observe(attrs.evolve(old, sequence=50), 1.0, 1.0)
        assert state_of(table, "i-1") is ENDED


def test_silent_target_is_marked_then_recovers_and_is_removed_after_retention():
    table = make_roster(target())
    assert [e.target.identity for e in table.tick(3.5)] == ["i-1"]
    before = table.revision
    table.observe(target(sequence=2), 4.0, 4.0)
    assert not table.find("i-1").is_silent
    assert table.revision > before
    table.tick(4.0 + 3.0 + 59.0)
    assert len(table) == 1
    table.tick(4.0 + 3.0 + 61.0)
    assert len(table) == 0


def test_renewal_without_changes_is_not_sent_to_subscribers():
    table = make_roster(target())
    before = table.revision
    table.observe(target(sequence=2), 1.0, 1.0)
    assert table.revision == before
    assert table.changed_since(0) == [table.find("i-1")]
    assert table.changed_since(before) == []


records = st.builds(
    target,
    identity=st.sampled_from(["i-1", "i-2"]),
    started_ms=st.integers(1, 3),
    sequence=st.integers(0, 4),
    state=st.sampled_from([READY, DRAINING]),
)


@given(st.lists(records, max_size=8), st.randoms(use_true_random=False))
def test_two_control_vms_converge_in_any_order_of_announcements(announced, rng):
    """Each control VM gets every announcement, in its own order and more than once."""
    first, second = make_roster(*announced), make_roster()
    repeated = [*announced, *announced]
    rng.shuffle(repeated)
    for record in repeated:
        second.observe(record, 0.0, 0.0)
    for table in (first, second):
        # A full exchange, as at the start of a connection.
        for entry in list((second if table is first else first).entries()):
            table.observe(entry.target, 0.0, 0.0)
    assert {e.target.identity: e.target.started_ms for e in first.entries()} == {
        e.target.identity: e.target.started_ms for e in second.entries()
    }
    assert {e.target.identity: e.target.state for e in first.entries()} == {
        e.target.identity: e.target.state for e in second.entries()
    }


@pytest.mark.parametrize("count", [500])
def test_tokens_are_never_zero_and_depend_on_identity_and_start_alone(count):
    tokens = {target(f"i-{n}", started_ms).token for n in range(count) for started_ms in (1, 2)}
    assert 0 not in tokens
    assert len(tokens) == 2 * count
    assert target(sequence=1).token == target(sequence=9, state=DRAINING, zone="b").token
