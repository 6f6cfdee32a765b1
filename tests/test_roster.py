"""Order of announcements: late, repeated, of ended incarnations, and of reused addresses."""

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


def filled(*targets):
    table = roster.Roster(silent_after_s=3.0, retain_s=60.0)
    for record in targets:
        table.observe(record, 0.0, 0.0)
    return table


def state_of(table, identity="i-1"):
    return table.find(identity).target.state


def test_late_announcement_changes_nothing():
    table = filled(target(sequence=5))
    assert table.observe(target(sequence=4), 1.0, 1.0) is roster.STALE
    assert table.find("i-1").target.sequence == 5


def test_target_that_leaves_does_not_come_back_in_the_same_incarnation():
    table = filled(target(sequence=5), target(sequence=6, state=DRAINING))
    assert table.observe(target(sequence=9), 1.0, 1.0) is roster.STALE
    assert state_of(table) is DRAINING


def test_last_word_outlives_a_heartbeat_that_was_held_up():
    table = filled(target(sequence=5, state=DRAINING))
    table.deregister("i-1", 1.0)
    table.observe(target(sequence=7, state=DRAINING), 1.5, 1.5)
    assert state_of(table) is ENDED


def test_restart_under_the_same_name_is_another_incarnation():
    table = filled(target(sequence=900, state=DRAINING))
    table.deregister("i-1", 1.0)
    old_token = table.find("i-1").target.token
    table.observe(target(started_ms=2000, sequence=0), 2.0, 2.0)
    assert state_of(table) is READY
    assert table.find("i-1").target.token != old_token


def test_later_start_at_an_address_ends_the_earlier_one_in_either_order():
    old, new = target("i-1", 1000), target("i-2", 2000, service="archive")
    for order in ((old, new), (new, old)):
        table = filled(*order)
        assert (state_of(table, "i-1"), state_of(table, "i-2")) == (ENDED, READY)
        table.observe(attrs.evolve(old, sequence=50), 1.0, 1.0)
        assert state_of(table, "i-1") is ENDED


def test_silent_target_is_marked_comes_back_and_is_forgotten_in_the_end():
    table = filled(target())
    assert [e.target.identity for e in table.tick(3.5)] == ["i-1"]
    before = table.revision
    table.observe(target(sequence=2), 4.0, 4.0)
    assert not table.find("i-1").is_silent
    assert table.revision > before
    table.tick(4.0 + 3.0 + 59.0)
    assert len(table) == 1
    table.tick(4.0 + 3.0 + 61.0)
    assert len(table) == 0


def test_heartbeat_without_news_does_not_wake_followers():
    table = filled(target())
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
def test_two_control_vms_agree_whatever_the_order(heard, rng):
    """Each hears everything, in its own order and more than once."""
    first, second = filled(*heard), filled()
    again = [*heard, *heard]
    rng.shuffle(again)
    for record in again:
        second.observe(record, 0.0, 0.0)
    for table in (first, second):
        # One more exchange of what is held, as at the start of a connection.
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
    tokens = {target(f"i-{n}", born).token for n in range(count) for born in (1, 2)}
    assert 0 not in tokens
    assert len(tokens) == 2 * count
    assert target(sequence=1).token == target(sequence=9, state=DRAINING, zone="b").token
