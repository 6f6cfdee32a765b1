"""Tests of the steps that select an opening's target."""

import random

import attrs

from zinniaspoke import choosing, coldshares, errors, roster, rulebook, selection


@attrs.define
class View:
    evacuated_zones: frozenset[str] = frozenset()
    returned_s: dict[str, float] = attrs.field(factory=dict)


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


def test_preview_shows_what_each_step_leaves_and_selects_nothing():
    selector = make_selector(View(frozenset({"a"})))
    loads = [make_load("i-1", "a"), make_load("i-2", "b")]
    preview = selector.preview(loads, QUERY, 0)
    assert dict(preview.steps)["evacuation"] == [loads[1]]
    assert preview.found.load is loads[1]
    assert loads[1].last_placed_s < 0


def test_no_ready_target_is_told_as_such():
    found = make_selector(View()).select([], QUERY)
    assert isinstance(found, errors.Nothing)
    assert found is selection.REFUSED_NO_TARGET


COLD_FILE = b"10.9.0.1:443 tcp api # t: t\nservice api cold_per_s=0.0 # t: t"


class ColdView(View):
    """Knows a service whose cold targets have a limit."""

    def __init__(self):
        super().__init__()
        self.rules = rulebook.RuleBook()
        self.rules.install(1, COLD_FILE)
        self.targets = roster.Roster(silent_after_s=3.6, retain_s=60.0)
        self.revision = 0


def make_cold_selector(view, *loads):
    for load in loads:
        view.targets.observe(load.target, 0.0, 0.0)
    view.revision += 1
    holder = coldshares.Holder(view=view, incarnation=1, announcement_interval_s=1.2)
    return make_selector(view, holder=holder)


def test_cold_target_without_a_share_gets_nothing_though_the_warm_one_is_full():
    warm, cold = make_load("i-1"), make_load("i-2", warm_at_s=11.0)
    selector = make_cold_selector(ColdView(), warm, cold)
    assert selector.select([warm, cold], QUERY).load is warm
    warm.in_flight_count = warm.in_flight_limit
    assert selector.select([warm, cold], QUERY) is selection.NO_CAPACITY


def test_opening_waits_where_only_cold_targets_are_left():
    cold = make_load("i-2", warm_at_s=11.0)
    selector = make_cold_selector(ColdView(), cold)
    assert selector.select([cold], QUERY) is selection.NO_CAPACITY
    assert selector.usable([cold], QUERY) == [cold]


def test_suspected_warm_target_is_used_rather_than_a_cold_one_without_a_share():
    warm, cold = make_load("i-1"), make_load("i-2", warm_at_s=11.0)
    selector = make_cold_selector(ColdView(), warm, cold)
    warm.record_failure(9.0, 9.9)
    assert selector.select([warm, cold], QUERY).load is warm


def returned_share(view, now_s, count=400):
    selector = make_selector(view)
    busy, returned = make_load("i-1", "a"), make_load("i-2", "b")
    busy.in_flight_count = 1
    query = selection.Query(service="api", now_s=now_s)
    chosen = [selector.select([busy, returned], query).load for _ in range(count)]
    return chosen.count(returned) / count


def test_returned_zone_gets_openings_by_and_by():
    view = View(returned_s={"b": 10.0})
    shares = [returned_share(view, 10.0 + part * selection.RAMP_S) for part in (0.0, 0.5, 1.0)]
    assert shares[0] == 0.0
    assert 0.4 < shares[1] < 0.6
    assert shares[2] == 1.0


def test_returned_zone_is_used_at_once_where_nothing_else_has_capacity():
    selector = make_selector(View(returned_s={"b": 10.0}))
    full, returned = make_load("i-1", "a"), make_load("i-2", "b")
    full.in_flight_count = full.in_flight_limit
    assert selector.select([full, returned], QUERY).load is returned
