"""Evidence about targets in a fleet: how soon all know, what is lost, what a cut or loss does."""

import random

import pytest
from fleet import Fleet

from zinniaspoke import evidence


@pytest.mark.parametrize("seed", range(3))
def test_dark_target_is_known_to_all_within_a_second_of_its_third_failure(seed):
    fleet = Fleet(seed=seed)
    fleet.run(1.0, rate_per_s=150)
    dark = fleet.targets[4]
    failed = []

    def is_reachable(vm, chosen):
        if chosen.token == dark.token:
            failed.append(fleet.now_s + 0.2)
        return chosen.token != dark.token

    fleet.is_reachable = is_reachable
    is_known = lambda: len(fleet.avoiding(dark)) == len(fleet.vms)  # noqa: E731
    fleet.run(3.0, rate_per_s=150, until=is_known)
    assert len(fleet.avoiding(dark)) == len(fleet.vms)
    assert fleet.now_s - failed[2] < 1.0


def test_few_openings_are_lost_to_a_target_that_stays_dark_and_it_comes_back():
    fleet = Fleet()
    fleet.run(1.0, rate_per_s=150)
    dark = fleet.targets[4]
    lost = []
    fleet.is_reachable = lambda vm, chosen: (
        chosen.token != dark.token or lost.append(fleet.now_s) or False
    )
    fleet.run(10.0, rate_per_s=150)
    late = [at_s for at_s in lost if at_s > 102.0]
    # Without sharing, 12 VMs try it about every 4 s each.
    assert len(late) <= 12
    assert fleet.avoiding(dark)
    fleet.is_reachable = lambda vm, chosen: True
    fleet.run(4.5, rate_per_s=150, until=lambda: not fleet.avoiding(dark))
    assert not fleet.avoiding(dark)


def lost_openings(is_shared, seed):
    """15 of 60 targets turn dark at once; their announcements would stop after 3.6 s."""
    fleet = Fleet(vm_count=78, target_count=60, is_shared=is_shared, seed=seed)
    fleet.run(0.5, rate_per_s=215)
    dark = {chosen.token for chosen in fleet.targets[::4]}
    lost = []
    fleet.is_reachable = lambda vm, chosen: (
        chosen.token not in dark or lost.append(fleet.now_s) or False
    )
    fleet.run(3.6, rate_per_s=215)
    return len(lost)


def test_many_dark_targets_cost_less_than_half_of_what_they_cost_without_sharing():
    assert 2 * lost_openings(True, seed=1) < lost_openings(False, seed=1)


def test_cut_between_zones_leaves_each_target_to_its_own_zone():
    """All links of zone a to targets of b are cut; the control VMs are reached by all."""
    fleet = Fleet(vm_count=18)
    fleet.run(1.0, rate_per_s=200)
    fleet.is_reachable = lambda vm, chosen: (vm.zone, chosen.zone) != ("a", "b")
    fleet.run(3.0, rate_per_s=400)
    for chosen in fleet.targets:
        assert {vm.zone for vm in fleet.avoiding(chosen)} <= {"a"}
        assert chosen.zone == "b" or not fleet.avoiding(chosen)


def test_entry_vm_that_is_cut_off_from_all_targets_reports_nothing():
    fleet = Fleet()
    fleet.run(1.0, rate_per_s=150)
    lonely = fleet.vms[0]
    fleet.is_reachable = lambda vm, chosen: vm is not lonely
    fleet.run(3.0, rate_per_s=400)
    assert lonely.core.counters.events["evidence_rows_sent"] == 0
    assert lonely.core.counters.events["evidence_disregarded"] > 0


def test_lossy_links_take_few_targets_out_of_use():
    """2% of openings are lost anywhere: verdicts that come about are soon disproved."""
    fleet = Fleet(vm_count=24, target_count=24)
    loss = random.Random(3)
    fleet.is_reachable = lambda vm, chosen: loss.random() >= 0.02
    shares = []
    for _ in range(50):
        fleet.run(0.2, rate_per_s=200)
        shares.append(sum(bool(fleet.avoiding(t)) for t in fleet.targets) / len(fleet.targets))
    assert sum(shares) / len(shares) < 0.05


def test_nothing_is_sent_while_all_is_well():
    fleet = Fleet()
    fleet.run(3.0, rate_per_s=200)
    assert fleet.sent_bytes == 0
    assert not any(vm.core.counters.events["evidence_reports_sent"] for vm in fleet.vms)


def test_answered_opening_is_observed():
    fleet = Fleet(vm_count=1)
    vm = fleet.vms[0]
    chosen = fleet.open(vm)
    fleet.run(0.02)
    assert vm.shared.observer.answered_s((chosen.token, evidence.Kind.DARK)) > 100.0 - 0.03
