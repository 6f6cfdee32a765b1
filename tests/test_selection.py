"""Tests of the steps that select an opening's target."""

import random

import attrs

from zinniaspoke import choosing, errors, roster, selection


@attrs.define
class View:
    evacuated_zones: frozenset[str] = frozenset()


def make_load(name, zone="a", **target_fields):
    target = roster.Target(
        identity=name,
        started_ms=1,
        sequence=1,
        service="api",
        address=("10.0.0.1", 80),
        zone=zone,
        slot_count=2,
        **target_fields,
    )
    return choosing.Load(target=target)


def make_selector(view, **fields):
    context = selection.Context(view=view, rng=random.Random(1), **fields)
    return selection.Selector(context=context)


QUERY = selection.Query(service="api", now_s=10.0)


def test_steps_are_judged_in_a_fixed_order():
    names = selection.step_names()
    assert names.index("evacuation") < names.index("health") < names.index("capacity")


def test_evacuated_zone_gets_no_opening():
    selector = make_selector(View(frozenset({"a"})))
    loads = [make_load("i-1", "a"), make_load("i-2", "b")]
    found = selector.select(loads, QUERY)
    assert found.load is loads[1]
    assert found.decided_by == "evacuation:1"


def test_service_whose_targets_are_all_evacuated_is_refused():
    selector = make_selector(View(frozenset({"a"})))
    assert selector.select([make_load("i-1", "a")], QUERY) is selection.REFUSED_EVACUATED


def test_suspected_target_elsewhere_is_preferred_to_a_healthy_one_in_an_evacuated_zone():
    selector = make_selector(View(frozenset({"a"})))
    suspected = make_load("i-2", "b")
    suspected.record_failure(9.0, 9.9)
    assert selector.select([make_load("i-1", "a"), suspected], QUERY).load is suspected


def test_full_targets_make_the_opening_wait():
    selector = make_selector(View())
    full = make_load("i-1")
    full.in_flight_count = full.in_flight_limit
    assert selector.select([full], QUERY) is selection.NO_CAPACITY
    assert selector.usable([full], QUERY) == [full]


def test_trace_shows_what_each_step_leaves_and_selects_nothing():
    selector = make_selector(View(frozenset({"a"})))
    loads = [make_load("i-1", "a"), make_load("i-2", "b")]
    traced = dict(selector.trace(loads, QUERY))
    assert traced["evacuation"] == [loads[1]]
    assert loads[1].last_placed_s < 0


def test_no_ready_target_is_told_as_such():
    found = make_selector(View()).select([], QUERY)
    assert isinstance(found, errors.Nothing)
    assert found is selection.REFUSED_NO_TARGET
