"""A cut-off availability zone is avoided as a whole, found again, and never all zones at once."""

import test_steering
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import steering, zones

ZONES = ("a", "b", "c")
OPENINGS_PER_S = 20
flow = test_steering.flow
target = test_steering.target


def site(count=60):
    """Returns an entry VM with targets spread evenly over the zones."""
    return test_steering.Vm(*(target(n, zone=ZONES[n % 3]) for n in range(1, count + 1)))


def play_openings(vm, is_reachable, seconds, first=0):
    """Opens flows at a steady rate; callers retransmit after 0.2 s and 0.6 s.

    Returns:
        For each opening how often it was sent before a target answered, 3 if none did.
    """
    agenda = [
        (vm.now_s + n / OPENINGS_PER_S, first + n, 0) for n in range(seconds * OPENINGS_PER_S)
    ]
    sent_counts = {}
    while agenda:
        agenda.sort()
        vm.now_s, number, attempt = agenda.pop(0)
        vm.apply_update(number=1)
        chosen = vm.packet(flow(number), retransmit_count=attempt)
        sent_counts[number] = attempt + 1
        if is_reachable(chosen, vm.now_s):
            vm.packet(flow(number), steering.Kind.DATA, chosen.token, sequence=1, has_payload=True)
            vm.finish(flow(number), chosen)
            vm.packet(flow(number), steering.Kind.END, chosen.token, acknowledged=9)
        elif attempt < 2:
            delay_s = (
                steering.RETRANSMIT_TIMES_S[attempt + 1] - steering.RETRANSMIT_TIMES_S[attempt]
            )
            agenda.append((vm.now_s + delay_s, number, attempt + 1))
        else:
            sent_counts[number] = 3
    return sent_counts


def test_callers_of_a_zone_that_is_cut_off_find_its_own_targets_within_a_second():
    """Zone partition: two thirds of 60 targets become unreachable at once."""
    vm = site()
    play_openings(vm, lambda chosen, _: True, 3)
    counts = play_openings(vm, lambda chosen, _: chosen.zone == "a", 5, first=1000)
    late = [number for number, count in counts.items() if count > 1]
    assert len([number for number in late if number < 1000 + OPENINGS_PER_S]) <= 15
    assert len([number for number in late if number >= 1000 + OPENINGS_PER_S]) <= 8
    failed = [number for number, count in counts.items() if count == 3]
    assert len(failed) <= 2


def test_zone_that_is_reachable_again_is_used_again():
    vm = site()
    play_openings(vm, lambda chosen, _: chosen.zone == "a", 5)
    seen = set()

    def is_reachable(chosen, now_s):
        seen.add(chosen.zone)
        return True

    play_openings(vm, is_reachable, 5, first=1000)
    assert seen == set(ZONES)
    assert not any(vm.core._table._zones[zone].is_suspected for zone in ZONES)


def test_targets_that_fail_one_at_a_time_do_not_make_their_zone_suspected():
    vm = site()
    dead = {"i-1", "i-4", "i-8", "i-12", "i-21"}
    play_openings(vm, lambda chosen, _: chosen.identity not in dead, 10)
    assert not any(vm.core._table._zones[zone].is_suspected for zone in ZONES)


def test_all_zones_suspected_are_used_as_if_none_were():
    vm = site(6)
    play_openings(vm, lambda chosen, _: False, 5)
    assert all(vm.core._table._zones[zone].is_suspected for zone in ZONES)
    assert vm.packet(flow(5000)).identity


def test_answer_after_the_failed_packet_was_sent_disproves_the_failure():
    zone = zones.ZoneHealth()
    zone.record_answer(2.0)
    for token in range(1, 9):
        zone.record_failure(token, 1.9, 2.2)
    assert not zone.is_suspected


def test_changes_of_suspicion_are_reported_once_for_the_log():
    vm = site()
    play_openings(vm, lambda chosen, _: chosen.zone != "b", 2)
    assert vm.core.take_zone_changes() == [("b", True)]
    assert vm.core.take_zone_changes() == []
    play_openings(vm, lambda chosen, _: True, 5, first=1000)
    assert vm.core.take_zone_changes() == [("b", False)]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["fail", "answer", "probe"]), st.integers(1, 4), st.floats(0.0, 2.0)
        ),
        max_size=60,
    )
)
def test_any_zone_is_tried_again_in_bounded_time_and_one_answer_clears_it(script):
    zone = zones.ZoneHealth()
    now_s = 100.0
    for kind, token, gap_s in script:
        now_s += gap_s
        if kind == "answer":
            zone.record_answer(now_s)
            assert not zone.is_suspected and zone.is_eligible(now_s)
        elif kind == "probe":
            zone.probed_s = now_s
        else:
            zone.record_failure(token, now_s - 0.1, now_s)
        if zone.is_suspected:
            assert len(zone.failed_targets) >= zones.FAILED_TARGET_THRESHOLD
    assert zone.is_eligible(now_s + zones.SUSPICION_MAX_S + zones.SUSPICION_BASE_S + 0.1)
