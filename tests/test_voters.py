"""Membership changes: single decisions of the planner, and simulated clusters."""

import pytest
import replicas
from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st

from zinniaspoke import consensus, submissions, voters

HEALTHY = voters.MemberHealth(silent_s=0.0, is_live=True, is_caught_up=True)
SILENT = voters.MemberHealth(silent_s=60.0, is_live=False, is_caught_up=True)
BEHIND = voters.MemberHealth(silent_s=0.0, is_live=True, is_caught_up=False)


def change(current, health, pending_joins=(), count=3):
    planner = voters.ReconfigurationPlanner(leader="a/1", voter_count=count)
    return planner.next_change(current, health, pending_joins)


def members(voter_list, *learners):
    return voters.ReplicaSet(voters=tuple(voter_list.split()), learners=learners)


def test_joining_replica_becomes_a_learner_and_replaces_the_learner_of_its_name():
    assert change(members("a/1", "b/1"), {"b/1": HEALTHY}, ["b/2"]) == members("a/1", "b/2")


def test_replica_set_grows_to_the_wanted_number_of_voters():
    health = {"b/1": HEALTHY, "c/1": HEALTHY, "d/1": HEALTHY}
    assert change(members("a/1 b/1", "c/1", "d/1"), health) == members("a/1 b/1 c/1", "d/1")
    assert change(members("a/1 b/1 c/1", "d/1"), health) is None


def test_learner_that_is_not_caught_up_is_not_promoted():
    assert change(members("a/1 b/1", "c/1"), {"b/1": HEALTHY, "c/1": BEHIND}) is None


def test_replacement_is_promoted_before_the_failed_voter_is_demoted():
    health = {"b/1": HEALTHY, "c/1": SILENT, "d/1": HEALTHY}
    larger = change(members("a/1 b/1 c/1", "d/1"), health)
    assert larger == members("a/1 b/1 c/1 d/1")
    assert change(larger, health) == members("a/1 b/1 d/1", "c/1")


def test_new_identity_of_a_voter_with_a_new_disk_is_preferred_as_its_replacement():
    health = {"b/1": HEALTHY, "c/1": HEALTHY, "c/2": HEALTHY, "d/1": HEALTHY}
    larger = change(members("a/1 b/1 c/1", "d/1", "c/2"), health)
    assert larger == members("a/1 b/1 c/1 c/2", "d/1")
    assert change(larger, health) == members("a/1 b/1 c/2", "d/1")


def test_failed_voter_stays_while_there_is_no_replacement():
    assert change(members("a/1 b/1 c/1"), {"b/1": HEALTHY, "c/1": SILENT}) is None


def cluster_accepting_members(seed=1, joining=("d",)):
    return replicas.Cluster(
        seed=seed, joining=joining, numbering="highest", voter_count=3, accepts_new_members=True
    )


def all_have_applied(cluster, number):
    return lambda: all(core.history.number == number for core in cluster.cores.values())


def test_vm_that_is_not_an_initial_voter_joins_and_replaces_a_failed_voter():
    cluster = cluster_accepting_members()
    cluster.accept(5)
    cluster.run_until(all_have_applied(cluster, 5))
    assert cluster.voter_names() == ["a", "b", "c"]
    lost = next(n for n in "abc" if n != cluster.leader())
    cluster.crash(lost)
    cluster.run_until(lambda: lost not in cluster.voter_names())
    assert "d" in cluster.voter_names()
    cluster.start(lost)
    cluster.accept(9)
    cluster.run_until(all_have_applied(cluster, 9))
    assert not cluster.cores[lost].replica.is_voter


def test_vm_of_a_new_name_replaces_a_failed_voter_before_a_second_loss():
    cluster = cluster_accepting_members(joining=())
    cluster.accept(5)
    first, second = [n for n in "abc" if n != cluster.leader()]
    cluster.lose_disk(first)
    cluster.run(1.0)
    cluster.add("x")
    started_s = cluster.now_s
    cluster.run_until(lambda: cluster.voter_names() == sorted({*"abcx"} - {first}))
    assert cluster.now_s - started_s < 4.0
    cluster.lose_disk(second)
    cluster.accept(7)
    cluster.start(second)
    cluster.run_until(lambda: cluster.cores[second].replica.is_voter)
    cluster.run_until(all_have_applied(cluster, 7))


@pytest.mark.parametrize("seed", range(8))
def test_leader_is_elected_within_two_rounds_after_all_replicas_restart(seed):
    """A peer that sends the initial replica set must not be treated as the leader.

    Any member sends it in reply to a join request, so elections would be delayed without a leader.
    """
    cluster = cluster_accepting_members(seed)
    cluster.accept(5)
    cluster.run(1.0)
    for name in cluster.names:
        cluster.crash(name)
    for name in cluster.names:
        cluster.start(name)
    started_s = cluster.now_s
    cluster.wait_for_leader()
    # One round may end in a split vote.
    assert cluster.now_s - started_s < 2 * consensus.FIRST_ELECTION_TIMEOUT_MAX_S


def test_voter_that_was_removed_while_down_rejoins_when_it_returns():
    cluster = cluster_accepting_members()
    cluster.accept(5)
    lost = next(n for n in "abc" if n != cluster.leader())
    cluster.crash(lost)
    cluster.run(voters.LEARNER_REMOVE_AFTER_S + 5.0)
    replica = cluster.cores[cluster.wait_for_leader()].replica
    assert lost not in [voters.name_of(m) for m in replica.replica_set.learners]
    cluster.accept(6)
    cluster.start(lost)
    cluster.run_until(all_have_applied(cluster, 6))


def test_single_control_vm_bootstraps_alone():
    cluster = replicas.Cluster(
        count=1, numbering="highest", voter_count=1, accepts_new_members=True
    )
    cluster.accept(3)
    cluster.crash("a")
    cluster.start("a")
    cluster.accept(4)


def test_no_replica_set_is_created_without_permission_to_bootstrap():
    cluster = replicas.Cluster(accepts_new_members=True, voter_count=3, may_bootstrap=False)
    cluster.run(10.0)
    assert all(not core.replica.replica_set.voters for core in cluster.cores.values())


def test_leader_with_a_full_disk_steps_down_and_no_accepted_rules_are_lost():
    cluster = cluster_accepting_members()
    cluster.accept(5)
    leader = cluster.leader()
    core = cluster.cores[leader]

    def refuse(name, data):
        raise replicas.storage.errors.StorageError(step="append", peer=name, reason="full")

    disk = cluster.disks[leader]
    disk.append, kept = refuse, disk.append
    with pytest.raises(replicas.storage.errors.StorageError):
        core.submit(6, replicas.RULE, cluster.now_s)
    assert core.replica.role is not consensus.Role.LEADER
    assert {a.reply.outcome for a in core.take_answers()} <= {3, 4}
    disk.append = kept
    cluster.accept(7)


@pytest.mark.parametrize("number", [1, 4, 5])
def test_number_not_above_the_highest_gets_yes_and_changes_nothing(number):
    history = submissions.RuleHistory(numbering="highest")
    file = replicas.control.control_pb2.RuleFile
    assert history.apply(file(number=5, content=b"kept")).is_yes
    assert history.apply(file(number=number, content=b"other")).is_yes
    assert (history.number, history.current.content) == (5, b"kept")


def test_digests_stay_bounded_when_numbers_have_gaps():
    """Snapshots carry them; a deployment sees tens of thousands of changes a day."""
    history = submissions.RuleHistory(numbering="highest")
    file = replicas.control.control_pb2.RuleFile
    for step in range(1, 3 * submissions.DIGEST_COUNT):
        history.apply(file(number=step * 7, content=b"%d" % step))
    snapshot = replicas.control.control_pb2.Snapshot()
    history.save(snapshot)
    assert len(snapshot.digests) == submissions.DIGEST_COUNT
    assert history.digest_of(history.number) is not None


class MembershipMachine(stateful.RuleBasedStateMachine):
    """VMs crash, lose disks one at a time, and are replaced by new VMs."""

    @stateful.initialize(seed=st.integers(0, 10_000))
    def create_cluster(self, seed):
        self.cluster = cluster_accepting_members(seed)
        self.added = 0
        self.cluster.accept(1)

    @stateful.rule(steps=st.integers(1, 120))
    def pass_time(self, steps):
        for _ in range(steps):
            self.cluster.step()

    def is_fully_replicated(self):
        cluster = self.cluster
        if len(cluster.cores) < len(cluster.names):
            return False
        own = {core.replica.member for core in cluster.cores.values()}
        sets = {tuple(core.replica.replica_set.voters) for core in cluster.cores.values()}
        return len(sets) == 1 and len(*sets) == 3 and set(*sets) <= own

    @stateful.rule(index=st.integers(0, 3), is_replaced=st.booleans())
    def lose_disk(self, index, is_replaced):
        if not self.is_fully_replicated():
            return
        cluster = self.cluster
        name = cluster.names[index % len(cluster.names)]
        cluster.lose_disk(name)
        if is_replaced:
            cluster.names = tuple(n for n in cluster.names if n != name)
            self.added += 1
            cluster.add(f"x{self.added}")
        else:
            cluster.start(name)

    @stateful.rule(index=st.integers(0, 3), delay=st.integers(0, 6))
    def crash(self, index, delay):
        name = self.cluster.names[index % len(self.cluster.names)]
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

    @stateful.rule(index=st.integers(0, 3))
    def isolate(self, index):
        self.cluster.isolate(self.cluster.names[index % len(self.cluster.names)])

    @stateful.rule()
    def heal(self):
        self.cluster.heal()

    @stateful.rule(index=st.integers(0, 3), step=st.integers(0, 3))
    def submit(self, index, step):
        name = self.cluster.names[index % len(self.cluster.names)]
        if name in self.cluster.cores:
            self.cluster.submit(max(self.cluster.committed) + step, replicas.RULE, name)

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.heal()
        for name in cluster.names:
            cluster.disks[name].crash_at = None
            if name not in cluster.cores:
                cluster.start(name)
        highest = max(cluster.highest.values())
        cluster.wait_for_leader()
        cluster.run(6.0)
        numbers = {core.history.number for core in cluster.cores.values()}
        assert numbers == {max(highest, max(cluster.committed))}
        assert len(cluster.voter_names()) == 3


TestMembership = MembershipMachine.TestCase
TestMembership.settings = hypothesis_settings(stateful_step_count=40)
