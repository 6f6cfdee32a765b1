"""Targets: leases, incarnations, operator drains, base targets over retained views."""

from zinniaspoke import targets


def state(number, incarnation=1, version=1, renewed_s=0.0, service="ledger", zone="", **fields):
    target = targets.Target(
        address=bytes((10, 0, 0, number)),
        port=80,
        service=service,
        incarnation=incarnation,
        geneve_port=6081,
        zone=zone,
    )
    fields = {"is_draining": False, **fields}
    return targets.TargetState(target=target, version=version, renewed_s=renewed_s, **fields)


def test_target_with_expired_lease_or_draining_accepts_no_new_flows():
    table = targets.TargetTable()
    table.merge(state(1), 0.0)
    known = table.of_service("ledger")[0]
    assert known.accepts_new_flows(2.9)
    assert not known.accepts_new_flows(3.0)
    assert table.merge(state(1, version=2, renewed_s=3.0, is_draining=True), 3.0)
    assert not known.accepts_new_flows(3.0)
    assert not table.merge(state(1, version=1, renewed_s=4.0), 4.0)
    assert known.is_draining


def test_operator_drain_survives_announcements_and_latest_setting_wins():
    table = targets.TargetTable()
    table.merge(state(1), 0.0)
    assert table.merge(state(1, is_held=True, held_at_ms=10), 0.0)
    assert not table.merge(state(1, is_held=False, held_at_ms=9), 0.0)
    table.merge(state(1, version=2, renewed_s=1.0), 1.0)
    assert not table.of_service("ledger")[0].accepts_new_flows(1.0)
    assert table.merge(state(1, is_held=False, held_at_ms=11), 1.0)
    assert table.of_service("ledger")[0].accepts_new_flows(1.0)


def test_newer_incarnation_replaces_older_in_any_order_of_arrival():
    for order in ((1, 2), (2, 1)):
        table = targets.TargetTable()
        for incarnation in order:
            table.merge(state(1, incarnation=incarnation, service=f"s{incarnation}"), 0.0)
        old, new = (table.of_service(f"s{incarnation}")[0] for incarnation in (1, 2))
        assert old.is_replaced
        assert not new.is_replaced
        assert table.at_address(bytes((10, 0, 0, 1)), "s2") == new.target


def test_base_target_is_returned_only_if_all_retained_views_agree():
    table = targets.TargetTable()
    for number in range(1, 8):
        table.merge(state(number), 0.0)
    flows = [number.to_bytes(4, "big") for number in range(200)]
    before = [table.base_target(flow, "ledger", 10.0) for flow in flows]
    assert all(before)
    table.merge(state(8), 10.0)
    after = [table.base_target(flow, "ledger", 11.0) for flow in flows]
    moved = [new for new in after if not new]
    assert {found.reason for found in moved} == {"views_disagree"}
    assert 5 < len(moved) < 60
    assert all(new == old for new, old in zip(after, before, strict=True) if new)
    later_s = 11.0 + targets.VIEW_RETENTION_S
    assert all(table.base_target(flow, "ledger", later_s) for flow in flows)


def test_vm_that_joins_later_computes_the_same_views():
    early, late = targets.TargetTable(), targets.TargetTable()
    for number in range(1, 8):
        early.merge(state(number), 0.1 * number)
    early.merge(state(8), 30.0)
    early.merge(state(3, incarnation=2), 60.0)
    for known in early.states.values():
        number = known.target.address[3]
        seen_s = known.first_seen_s
        late.merge(state(number, known.target.incarnation, first_seen_s=seen_s), 90.0)
    for number in range(200):
        flow = number.to_bytes(4, "big")
        first, second = (t.base_target(flow, "ledger", 90.0) for t in (early, late))
        assert first == second


def test_target_owns_address_while_its_lease_or_last_answer_is_recent():
    table = targets.TargetTable()
    table.merge(state(1), 0.0)
    (known,) = table.of_service("ledger")
    assert table.owns_address(known.target, 2.9)
    assert not table.owns_address(known.target, 3.1)
    known.answered_s = 2.5
    assert table.owns_address(known.target, 5.4)
    newer = state(1, incarnation=2, renewed_s=5.0)
    table.merge(newer, 5.0)
    assert not table.owns_address(known.target, 5.1)
    assert table.old_lease_left_s(newer.target, 5.0) == 0.5
    assert [newer.accepts_new_flows(now_s) for now_s in (5.4, 5.6)] == [False, True]
    assert table.old_lease_left_s(newer.target, 9.0) == 0.0


def test_targets_of_an_evacuated_zone_accept_no_new_flows_until_it_is_given_back():
    table = targets.TargetTable()
    table.merge(state(1, zone="a"), 0.0)
    table.set_evacuated(frozenset({"a"}))
    table.merge(state(2, zone="a"), 0.0)
    table.merge(state(3, zone="b"), 0.0)
    table.merge(state(1, zone="a", version=2, renewed_s=1.0), 1.0)
    assert [s.accepts_new_flows(1.0) for s in table.of_service("ledger")] == [False, False, True]
    table.set_evacuated(frozenset())
    assert all(s.accepts_new_flows(1.0) for s in table.of_service("ledger"))
