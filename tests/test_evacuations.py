"""Zone orders as replicated state: order, late copies, versions, snapshots, crashes."""

import random

import attrs
import pytest
import replicas
from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st

from zinniaspoke import consensus, control, errors, evacuations, events, log, storage
from zinniaspoke.proto import control_pb2

YES, UNKNOWN, NOT_LEADER = (
    control_pb2.SUBMIT_OUTCOME_YES,
    control_pb2.SUBMIT_OUTCOME_UNKNOWN,
    control_pb2.SUBMIT_OUTCOME_NOT_LEADER,
)
LIMIT_S = 0.6
# What a replica of the version before wrote: identity, state, a snapshot and one entry after it.
OLD_FILES = {
    log.IDENTITY: "00000008e6fcfd353838666334653963",
    log.STATE: "0000000e23b780120801120a612f3838666334653963",
    log.SNAPSHOT: (
        "00000063c9fffd1b080410011a230802121f31302e302e302e313a383020746370206c6564676572202320616e"
        "613a2074220c0a0a612f38386663346539632a1408011210d8324f4f2a6b11f5a03be9a68d43c2252a14080212"
        "10d8324f4f2a6b11f5a03be9a68d43c225"
    ),
    log.LOG: (
        "0000002ba5791bd30a29080510011a230803121f31302e302e302e313a383020746370206c6564676572202320"
        "616e613a2074"
    ),
}


def answer(cluster, key):
    cluster.run_until(lambda: key in cluster.answers)
    return cluster.answers[key]


def zones(cluster):
    return {name: core.evacuations.zones for name, core in cluster.cores.items()}


def all_hold(cluster, *expected):
    return lambda: set(zones(cluster).values()) == {frozenset(expected)}


def test_orders_take_effect_everywhere_and_repeated_ones_change_nothing():
    cluster = replicas.Cluster()
    cluster.accept(1)
    for is_evacuated, revision in ((False, 0), (True, 1), (True, 1), (False, 2), (False, 2)):
        assert answer(cluster, cluster.order("a", is_evacuated)).outcome == YES
        expected = ("a",) if is_evacuated else ()
        cluster.run_until(all_hold(cluster, *expected))
        assert {c.evacuations.revision for c in cluster.cores.values()} == {revision}
    assert {core.history.number for core in cluster.cores.values()} == {1}


def test_zones_and_rule_files_do_not_affect_each_other():
    cluster = replicas.Cluster()
    leader = cluster.wait_for_leader()
    keys = [
        cluster.order("a", through=leader),
        cluster.submit(1, through=leader),
        cluster.order("b", through=leader),
        cluster.order("a", False, through=leader),
    ]
    assert [answer(cluster, key).outcome for key in keys] == [YES] * 4
    cluster.run_until(all_hold(cluster, "b"))


def test_end_given_while_the_beginning_is_not_committed_yet_is_the_last_word():
    """Answered from the state in force it would be a yes that the commit then undoes."""
    cluster = replicas.Cluster()
    leader = cluster.wait_for_leader()
    cluster.order("a", True, through=leader)
    end = cluster.order("a", False, through=leader)
    assert end not in cluster.answers
    assert answer(cluster, end).outcome == YES
    cluster.run(1.0)
    assert all_hold(cluster)()


def test_order_that_its_caller_gave_up_is_not_proposed():
    cluster = replicas.Cluster()
    leader = cluster.wait_for_leader()
    entered_s = cluster.local_time_s(leader)
    cluster.run(1.0)
    assert answer(cluster, cluster.order("a", False, leader)).outcome == YES
    late = cluster.order("a", True, leader, latest_s=entered_s + LIMIT_S)
    assert answer(cluster, late).outcome == UNKNOWN
    cluster.run(6.0)
    assert all_hold(cluster)()


def test_order_in_the_log_of_a_leader_without_majority_is_lost_and_not_acknowledged():
    cluster = replicas.Cluster()
    old = cluster.wait_for_leader()
    cluster.isolate(old)
    lost = cluster.order("a", True, through=old)
    cluster.run_until(lambda: cluster.leader() not in (None, old))
    assert answer(cluster, cluster.order("a", False, cluster.leader())).outcome == YES
    assert answer(cluster, lost).outcome == UNKNOWN
    cluster.heal()
    cluster.run(2.0)
    assert all_hold(cluster)()


def test_leader_without_majority_does_not_confirm_an_evacuation_that_ended():
    cluster = replicas.Cluster()
    assert answer(cluster, cluster.order("a")).outcome == YES
    old = cluster.leader()
    cluster.isolate(old)
    key = cluster.order("a", True, through=old)
    cluster.run_until(lambda: cluster.leader() not in (None, old))
    assert answer(cluster, cluster.order("a", False, cluster.leader())).outcome == YES
    assert answer(cluster, key).outcome == UNKNOWN


def test_replica_that_does_not_lead_says_so():
    cluster = replicas.Cluster()
    leader = cluster.wait_for_leader()
    other = next(name for name in cluster.names if name != leader)
    assert answer(cluster, cluster.order("a", True, other)).outcome == NOT_LEADER


def test_orders_survive_snapshots_and_a_restart_of_all():
    cluster = replicas.Cluster()
    answer(cluster, cluster.order("a"))
    answer(cluster, cluster.order("b"))
    for number in range(1, consensus.SNAPSHOT_AFTER_ENTRY_COUNT + 10):
        cluster.accept(number)
    cluster.run(1.0)
    assert all(core.replica._log.snapshot.last_index > 3 for core in cluster.cores.values())
    for name in cluster.names:
        cluster.crash(name)
        cluster.start(name)
    assert all_hold(cluster, "a", "b")()
    assert answer(cluster, cluster.order("a", False)).outcome == YES
    cluster.run_until(all_hold(cluster, "b"))


def test_replica_without_a_disk_gets_the_zones_with_a_snapshot():
    cluster = replicas.Cluster()
    answer(cluster, cluster.order("a"))
    for number in range(1, consensus.SNAPSHOT_AFTER_ENTRY_COUNT + 10):
        cluster.accept(number)
    victim = next(name for name in cluster.names if name != cluster.leader())
    cluster.lose_disk(victim)
    cluster.start(victim)
    assert zones(cluster)[victim] == frozenset()
    cluster.run_until(all_hold(cluster, "a"))


def test_files_of_the_version_before_are_read_and_take_orders():
    disk = storage.MemoryStorage(rng=random.Random(1))
    for name, data in OLD_FILES.items():
        disk.replace(name, bytes.fromhex(data))

    def start():
        return control.Control(
            name="a",
            initial_voters=("a",),
            entries=log.Log(files=disk),
            rng=random.Random(1),
            now_s=0.0,
        )

    core = start()
    assert (core.history.number, core.evacuations.zones) == (2, frozenset())
    core.tick(1.0)
    core.tick(1.1)
    assert core.history.number == 3
    assert core.replica.replica_set.version == consensus.VERSION
    core.order(control_pb2.ZoneOrder(zone="a", is_evacuated=True), 1.2)
    assert [a.reply.outcome for a in core.take_answers()] == [YES]
    core = start()
    core.tick(1.0)
    assert core.evacuations.zones == {"a"}


class MixedCluster(replicas.Cluster):
    """Some replicas send messages as the version before."""

    old = frozenset()

    def _post(self, name, message):
        if name in self.old:
            message.ClearField("version")
        super()._post(name, message)


def make_mixed(*old, count=3, **values):
    cluster = MixedCluster(count=count, **values)
    cluster.old = frozenset(old)
    return cluster


def test_order_is_refused_while_a_member_runs_the_version_before_and_names_it():
    cluster = make_mixed("c")
    cluster.run_until(lambda: cluster.leader() in ("a", "b"))
    cluster.accept(1)
    reply = answer(cluster, cluster.order("a", True, cluster.leader()))
    assert reply.outcome == UNKNOWN
    assert reply.reason.startswith("c/")
    assert all_hold(cluster)()
    cluster.old = frozenset()
    cluster.run(1.0)
    assert answer(cluster, cluster.order("a")).outcome == YES


def test_member_that_has_not_been_heard_since_an_upgrade_blocks_orders_and_later_it_does_not():
    cluster = make_mixed(*"abc")
    cluster.accept(1)
    for name in cluster.names:
        cluster.crash(name)
    cluster.old = frozenset()
    for name in "ab":
        cluster.start(name)
    leader = cluster.wait_for_leader()
    assert answer(cluster, cluster.order("a", True, leader)).outcome == UNKNOWN
    cluster.start("c")
    cluster.run(1.0)
    assert answer(cluster, cluster.order("a")).outcome == YES
    for name in cluster.names:
        cluster.crash(name)
    for name in "ab":
        cluster.start(name)
    assert answer(cluster, cluster.order("b")).outcome == YES


def test_set_names_the_lower_version_once_its_leader_hears_a_member_that_has_it():
    cluster = replicas.Cluster()
    cluster.accept(1)
    assert cluster.cores["a"].replica.replica_set.version == consensus.VERSION
    cluster = make_mixed()
    cluster.accept(1)
    cluster.old = frozenset("c")
    cluster.run(1.0)
    assert {core.replica.replica_set.version for core in cluster.cores.values()} == {0}


@pytest.mark.parametrize("has_order", [False, True])
def test_replica_of_the_version_before_may_join_only_before_the_first_order(has_order):
    cluster = make_mixed(
        "d", joining=("d",), numbering="highest", voter_count=3, accepts_new_members=True
    )
    cluster.cores.pop("d")
    cluster.accept(1)
    if has_order:
        assert answer(cluster, cluster.order("a")).outcome == YES
    cluster.start("d")
    cluster.run(3.0)
    leader = cluster.cores[cluster.wait_for_leader()]
    assert ("d" in leader.replica.member_names()) is not has_order
    refused = [n.peer for n in leader.take_notices() if n.event is events.REPLICA_REFUSED]
    assert [consensus.name_of(member) for member in refused] == ["d"] * has_order
    if not has_order:
        reply = answer(cluster, cluster.order("a"))
        assert (reply.outcome, consensus.name_of(reply.reason)) == (UNKNOWN, "d")
    cluster.old = frozenset()
    cluster.run(3.0)
    assert answer(cluster, cluster.order("b")).outcome == YES
    cluster.run_until(all_hold(cluster, *(("a", "b") if has_order else ("b",))))


@pytest.mark.parametrize("zone", ["", "a/b", "a b", "ä", "%61", "-a", "a" * 65, "a\n", "a?"])
def test_malformed_names_are_refused(zone):
    with pytest.raises(errors.ZoneError):
        evacuations.check_zone(zone, ())


def test_unknown_zones_are_refused_where_the_zones_are_configured():
    evacuations.check_zone("zone-a_1.x", ())
    evacuations.check_zone("a", ("a", "b"))
    with pytest.raises(errors.ZoneError, match="known are a, b"):
        evacuations.check_zone("c", ("a", "b"))


def test_number_of_evacuated_zones_is_limited():
    state = evacuations.Evacuations()
    for number in range(evacuations.MAX_ZONE_COUNT):
        assert state.apply(control_pb2.ZoneOrder(zone=f"z{number}", is_evacuated=True)).is_yes
    refused = state.apply(control_pb2.ZoneOrder(zone="more", is_evacuated=True))
    assert not refused.is_yes
    assert state.revision == len(state.zones) == evacuations.MAX_ZONE_COUNT


def test_orders_survive_a_crash_at_any_disk_operation():
    """Crashes the leader or a follower at each disk operation of one order."""
    points = 0
    for victim_leads in (True, False):
        for point in range(1, 40):
            cluster = replicas.Cluster(seed=point)
            assert answer(cluster, cluster.order("a")).outcome == YES
            leader = cluster.leader()
            victim = leader if victim_leads else next(n for n in cluster.names if n != leader)
            disk = cluster.disks[victim]
            disk.crash_at = disk.operation_count + point
            key = cluster.order("a", False, leader)
            cluster.run(1.0)
            reply = cluster.answers.get(key)
            has_crashed = victim not in cluster.cores
            disk.crash_at = None
            if not has_crashed:
                break
            points += 1
            cluster.start(victim)
            cluster.wait_for_leader()
            cluster.run(2.0)
            assert len(set(zones(cluster).values())) == 1
            if reply is not None and reply.outcome == YES:
                assert all_hold(cluster)()
            assert answer(cluster, cluster.order("a", False)).outcome == YES
            cluster.run_until(all_hold(cluster))
    assert points >= 6


@attrs.define(kw_only=True, eq=False)
class Given:
    """An order that was given: what, when, its key, and when it can no longer be proposed."""

    zone: str
    is_evacuated: bool
    given_s: float
    ended_s: float
    key: tuple | None = None
    is_acknowledged: bool = False


class OrdersMachine(stateful.RuleBasedStateMachine):
    """Two operators give orders for two zones while VMs crash, lose disks and are cut off."""

    def __init__(self):
        super().__init__()
        # So that snapshots are taken and sent.
        self.snapshot_after_entry_count = consensus.SNAPSHOT_AFTER_ENTRY_COUNT
        consensus.SNAPSHOT_AFTER_ENTRY_COUNT = 4

    @stateful.initialize(seed=st.integers(0, 10_000), count=st.sampled_from([3, 5]))
    def create_cluster(self, seed, count):
        self.count = count
        self.cluster = replicas.Cluster(count=count, seed=seed)
        self.cluster.wait_for_leader()
        self.given = []
        self.copies = []

    def name(self, index):
        return self.cluster.names[index % self.count]

    @stateful.rule(steps=st.integers(1, 60))
    def pass_time(self, steps):
        for _ in range(steps):
            self.cluster.step()
            self.note_answers()

    def note_answers(self):
        for order in self.given:
            reply = self.cluster.answers.get(order.key)
            if reply is not None and reply.outcome == YES and not order.is_acknowledged:
                order.is_acknowledged = True
                order.ended_s = min(order.ended_s, self.cluster.now_s)

    @stateful.rule(
        zone=st.sampled_from("ab"),
        is_evacuated=st.booleans(),
        index=st.integers(0, 4),
        has_late_copy=st.booleans(),
    )
    def order(self, zone, is_evacuated, index, has_late_copy):
        """Gives an order to the leader and any other replica."""
        now_s = self.cluster.now_s
        made = Given(zone=zone, is_evacuated=is_evacuated, given_s=now_s, ended_s=now_s + LIMIT_S)
        # One that a crash cuts short may be in force as well.
        self.given.append(made)
        if has_late_copy:
            self.copies.append(made)
        for through in {self.cluster.leader(), self.name(index)} & self.cluster.cores.keys():
            self.enter(made, through)

    def enter(self, order, through):
        latest_s = self.cluster.clock_offset_s[through] + order.given_s + LIMIT_S
        key = self.cluster.order(order.zone, order.is_evacuated, through, latest_s)
        if key[1] is not None:
            self.given.append(attrs.evolve(order, key=key))

    @stateful.rule(
        zone=st.sampled_from("ab"),
        is_evacuated=st.booleans(),
        index=st.integers(0, 4),
        gaps=st.tuples(st.integers(0, 60), st.integers(0, 30)),
    )
    def overtake(self, zone, is_evacuated, index, gaps):
        """An order, then its opposite, then a copy of the first that was on its way."""
        self.order(zone, is_evacuated, index, has_late_copy=True)
        self.pass_time(gaps[0])
        self.order(zone, not is_evacuated, index, has_late_copy=False)
        self.pass_time(gaps[1])
        leader = self.cluster.leader()
        if leader is not None:
            self.enter(self.copies[-1], leader)

    @stateful.precondition(lambda self: self.copies)
    @stateful.rule(data=st.data())
    def deliver_copy(self, data):
        """A copy that was on its way all the while arrives at the leader."""
        leader = self.cluster.leader()
        if leader is not None:
            self.enter(data.draw(st.sampled_from(self.copies)), leader)

    @stateful.rule(index=st.integers(0, 4), delay=st.integers(0, 6))
    def crash(self, index, delay):
        name = self.name(index)
        if delay and name in self.cluster.cores:
            disk = self.cluster.disks[name]
            disk.crash_at = disk.operation_count + delay
        else:
            self.cluster.crash(name)

    @stateful.rule()
    def restart_all(self):
        for name in self.cluster.names:
            if name not in self.cluster.cores:
                self.cluster.start(name)

    @stateful.rule(index=st.integers(0, 4))
    def lose_disk(self, index):
        """Loses one disk at a time: the next one only after the lost voter is replaced."""
        cluster = self.cluster
        own = {core.replica.member for core in cluster.cores.values()}
        sets = [set(core.replica.replica_set.voters) for core in cluster.cores.values()]
        if len(own) == self.count and all(voters == own for voters in sets):
            cluster.lose_disk(self.name(index))
            cluster.start(self.name(index))

    @stateful.rule(index=st.integers(0, 4))
    def isolate(self, index):
        self.cluster.isolate(self.name(index))

    @stateful.rule(index=st.integers(0, 4))
    def block_inbound(self, index):
        self.cluster.block_inbound(self.name(index))

    @stateful.rule()
    def heal(self):
        self.cluster.heal()

    @stateful.rule(index=st.integers(0, 4), steps=st.sampled_from([20, 60, 120]))
    def freeze(self, index, steps):
        self.cluster.pause(self.name(index))
        self.pass_time(steps)
        self.cluster.resume(self.name(index), are_connections_lost=steps > 60)

    def teardown(self):
        try:
            if hasattr(self, "cluster"):
                self.check_final_state()
        finally:
            consensus.SNAPSHOT_AFTER_ENTRY_COUNT = self.snapshot_after_entry_count

    def check_final_state(self):
        cluster = self.cluster
        cluster.heal()
        for name in cluster.names:
            cluster.disks[name].crash_at = None
            if name not in cluster.cores:
                cluster.start(name)
        cluster.wait_for_leader()
        self.pass_time(300)
        held = set(zones(cluster).values())
        assert len(held) == 1
        for zone in "ab":
            self.check(zone, zone in next(iter(held)))

    def check(self, zone, is_evacuated):
        """Some order explains the state, and no acknowledged opposite one was given after it."""
        orders = [order for order in self.given if order.zone == zone]
        start = Given(zone=zone, is_evacuated=False, given_s=0.0, ended_s=0.0)
        explaining = [o for o in (start, *orders) if o.is_evacuated == is_evacuated]
        opposite = [o for o in orders if o.is_acknowledged and o.is_evacuated != is_evacuated]
        assert any(
            all(later.given_s <= order.ended_s for later in opposite) for order in explaining
        ), (zone, is_evacuated, orders)


TestOrders = OrdersMachine.TestCase
TestOrders.settings = hypothesis_settings(stateful_step_count=40)
