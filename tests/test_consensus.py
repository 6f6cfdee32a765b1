"""Consensus under message loss, network partitions, crashes and lost disks."""

import pytest
import replicas
from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st

from zinniaspoke import consensus, control
from zinniaspoke.proto import control_pb2

YES = control_pb2.SUBMIT_OUTCOME_YES
NO = control_pb2.SUBMIT_OUTCOME_NO
UNKNOWN = control_pb2.SUBMIT_OUTCOME_UNKNOWN


def all_have_applied(cluster, number):
    return lambda: all(core.history.number == number for core in cluster.cores.values())


def answer(cluster, key):
    cluster.run_until(lambda: key in cluster.answers)
    return cluster.answers[key]


@pytest.mark.parametrize("count", [3, 5])
def test_reply_to_a_submission_depends_on_its_number(count):
    cluster = replicas.Cluster(count=count)
    assert cluster.accept(1).outcome == YES
    again = answer(cluster, cluster.submit(1))
    assert (again.outcome, again.reason) == (YES, "number 1 was accepted with these bytes")
    other = answer(cluster, cluster.submit(1, replicas.RULE + b"other"))
    assert other.outcome == NO
    assert "number 1 is in force" in other.reason
    gap = answer(cluster, cluster.submit(3))
    assert gap.outcome == NO
    assert "next number is 2" in gap.reason
    wrong = answer(cluster, cluster.submit(2, b"10.0.0.1:80 tcp ledger\nx"))
    assert wrong.outcome == NO
    assert "line 1" in wrong.reason
    assert "line 2" in wrong.reason
    cluster.run_until(all_have_applied(cluster, 1))


def test_concurrent_submissions_of_a_number_get_one_yes():
    cluster = replicas.Cluster()
    leader = cluster.wait_for_leader()
    keys = [cluster.submit(1, replicas.RULE + c, leader) for c in (b"first", b"second")]
    outcomes = sorted(answer(cluster, key).outcome for key in keys)
    assert outcomes == [YES, NO]


def test_isolated_leader_replies_unknown_and_a_resend_gets_a_definite_reply():
    cluster = replicas.Cluster()
    cluster.accept(1)
    old = cluster.leader()
    cluster.isolate(old)
    lost = cluster.submit(2, replicas.RULE + b"lost", old)
    assert answer(cluster, lost).outcome == UNKNOWN
    cluster.run_until(lambda: cluster.leader() not in (None, old))
    cluster.accept(2, replicas.RULE + b"other")
    cluster.heal()
    cluster.run_until(all_have_applied(cluster, 2))
    assert answer(cluster, cluster.submit(2, replicas.RULE + b"lost")).outcome == NO


def test_replica_isolated_for_long_does_not_depose_the_leader_when_it_returns():
    cluster = replicas.Cluster()
    cluster.accept(1)
    leader = cluster.leader()
    isolated = next(name for name in cluster.names if name != leader)
    cluster.isolate(isolated)
    for number in range(2, 6):
        cluster.accept(number)
    cluster.run(30.0)
    term = cluster.cores[leader].replica.term
    assert cluster.cores[isolated].replica.role is not consensus.Role.LEADER
    cluster.heal()
    cluster.run_until(all_have_applied(cluster, 5))
    assert cluster.cores[leader].replica.term == term
    assert cluster.leader() == leader


def test_cluster_survives_two_lost_disks_one_after_the_other():
    cluster = replicas.Cluster()
    cluster.accept(1)
    first, second = [n for n in cluster.names if n != cluster.leader()]
    old_member = cluster.cores[first].replica.member
    cluster.lose_disk(first)
    cluster.start(first)
    core = cluster.cores[first]
    assert core.replica.member != old_member
    assert not core.replica.is_voter
    cluster.run_until(lambda: core.replica.is_voter and core.history.number == 1)
    voters = lambda: cluster.cores[cluster.wait_for_leader()].replica.replica_set.voters  # noqa: E731
    cluster.run_until(lambda: old_member not in voters() and len(voters()) == 3)
    cluster.lose_disk(second)
    cluster.accept(2)
    cluster.start(second)
    cluster.run_until(lambda: cluster.cores[second].replica.is_voter)
    cluster.run_until(all_have_applied(cluster, 2))


def test_replicas_with_lost_disks_elect_no_leader():
    cluster = replicas.Cluster()
    cluster.accept(1)
    first, second, third = cluster.names
    cluster.lose_disk(first)
    cluster.lose_disk(second)
    cluster.start(first)
    cluster.start(second)
    cluster.run(20.0)
    assert cluster.leader() is None
    assert cluster.cores[third].history.number == 1
    assert all(cluster.cores[n].history.number == 0 for n in (first, second))


def test_bootstrap_waits_for_all_initial_voters():
    cluster = replicas.Cluster()
    cluster.isolate("c")
    cluster.run(10.0)
    assert all(not core.replica.replica_set.voters for core in cluster.cores.values())
    cluster.heal()
    cluster.accept(1)


def test_leadership_transfer_is_faster_than_an_election_timeout():
    cluster = replicas.Cluster()
    cluster.accept(1)
    old = cluster.leader()
    assert cluster.cores[old].replica.transfer_leadership(cluster.now_s)
    before_s = cluster.now_s
    cluster.run_until(lambda: cluster.leader() not in (None, old))
    assert cluster.now_s - before_s < consensus.ELECTION_TIMEOUT_MIN_S


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_rule_file_submitted_on_both_sides_of_a_leadership_transfer_is_accepted_once(is_cut_off):
    """A hand-over: the old leader gives leadership away, or is also cut off before it knows."""
    cluster = replicas.Cluster(numbering="successive")
    cluster.accept(1)
    old = cluster.leader()
    assert cluster.cores[old].replica.transfer_leadership(cluster.now_s)
    first = cluster.submit(2, replicas.RULE + b"first", through=old)
    if is_cut_off:
        cluster.step()
        cluster.isolate(old)
    cluster.run_until(lambda: cluster.leader() not in (None, old))
    second = cluster.submit(2, replicas.RULE + b"second", through=cluster.leader())
    late = cluster.submit(2, replicas.RULE + b"first", through=old)
    cluster.run(1.0)
    cluster.heal()
    cluster.run(control.SUBMIT_TIMEOUT_S + 1.0)
    outcomes = {key: cluster.answers[key].outcome for key in (first, second, late)}
    assert [key for key, outcome in outcomes.items() if outcome == YES] == [second]
    contents = {core.history.current.content for core in cluster.cores.values()}
    assert contents == {replicas.RULE + b"second"}


def test_accepted_rules_survive_a_restart_after_a_thousand_changes():
    cluster = replicas.Cluster()
    for number in range(1, 1001):
        cluster.accept(number, replicas.RULE + str(number).encode())
    for name in cluster.names:
        cluster.crash(name)
        cluster.start(name)
    cluster.run_until(all_have_applied(cluster, 1000))
    assert answer(cluster, cluster.submit(1000, replicas.RULE + b"1000")).outcome == YES
    assert cluster.accept(1001).outcome == YES


def test_follower_that_is_behind_catches_up_from_a_snapshot():
    cluster = replicas.Cluster()
    cluster.accept(1)
    follower = next(name for name in cluster.names if name != cluster.leader())
    cluster.crash(follower)
    for number in range(2, consensus.SNAPSHOT_AFTER_ENTRY_COUNT + 40):
        cluster.accept(number)
    cluster.start(follower)
    cluster.run_until(all_have_applied(cluster, consensus.SNAPSHOT_AFTER_ENTRY_COUNT + 39))


def test_accepted_rules_survive_a_crash_at_any_disk_operation():
    """Crashes the leader or a follower at each disk operation of one submission."""
    points = 0
    for victim_leads in (True, False):
        for point in range(1, 40):
            cluster = replicas.Cluster(seed=point)
            cluster.accept(1)
            leader = cluster.leader()
            victim = leader if victim_leads else next(n for n in cluster.names if n != leader)
            disk = cluster.disks[victim]
            disk.crash_at = disk.operation_count + point
            key = cluster.submit(2, replicas.RULE + b"2", leader)
            cluster.run(1.0)
            reply = cluster.answers.get(key)
            crashed = victim not in cluster.cores
            disk.crash_at = None
            if not crashed:
                break
            points += 1
            cluster.start(victim)
            cluster.wait_for_leader()
            cluster.run(2.0)
            numbers = {core.history.number for core in cluster.cores.values()}
            assert len(numbers) == 1
            if reply is not None and reply.outcome == YES:
                assert numbers == {2}
            cluster.accept(2, replicas.RULE + b"2")
    assert points >= 6


class ConsensusMachine(stateful.RuleBasedStateMachine):
    """Random faults; ``replicas.Cluster`` asserts the invariants after every step."""

    count = 3

    @stateful.initialize(seed=st.integers(0, 10_000))
    def create_cluster(self, seed):
        self.cluster = replicas.Cluster(count=self.count, seed=seed)
        self.number = 0
        self.keys = {}

    @stateful.rule(steps=st.integers(1, 80))
    def pass_time(self, steps):
        for _ in range(steps):
            self.cluster.step()

    @stateful.rule(loss=st.sampled_from([0.0, 0.1, 0.4]), repeat=st.sampled_from([0.0, 0.3]))
    def change_network(self, loss, repeat):
        self.cluster.loss_rate, self.cluster.duplicate_rate = loss, repeat

    @stateful.rule(index=st.integers(0, 4))
    def isolate(self, index):
        self.cluster.isolate(self.cluster.names[index % self.count])

    @stateful.rule()
    def heal(self):
        self.cluster.heal()

    @stateful.rule(index=st.integers(0, 4), delay=st.integers(0, 6))
    def crash(self, index, delay):
        name = self.cluster.names[index % self.count]
        if delay and name in self.cluster.cores:
            disk = self.cluster.disks[name]
            disk.crash_at = disk.operation_count + delay
        else:
            self.cluster.crash(name)

    @stateful.rule(index=st.integers(0, 4))
    def restart(self, index):
        name = self.cluster.names[index % self.count]
        if name not in self.cluster.cores:
            self.cluster.start(name)

    @stateful.rule(index=st.integers(0, 4))
    def lose_disk(self, index):
        """Loses one disk at a time: the next one only after the lost voter is replaced."""
        cluster = self.cluster
        names = {consensus.name_of(c.replica.member) for c in cluster.cores.values()}
        members = {core.replica.member for core in cluster.cores.values()}
        sets = [set(core.replica.replica_set.voters) for core in cluster.cores.values()]
        if names == set(cluster.names) and all(voters == members for voters in sets):
            name = cluster.names[index % self.count]
            cluster.lose_disk(name)
            cluster.start(name)

    @stateful.rule(index=st.integers(0, 4), shift_s=st.sampled_from([0.0, 0.3, 2.0]))
    def jump_clock(self, index, shift_s):
        name = self.cluster.names[index % self.count]
        self.cluster.clock_offset_s[name] += shift_s

    @stateful.rule(index=st.integers(0, 4), step=st.integers(0, 2), content=st.integers(0, 2))
    def submit(self, index, step, content):
        name = self.cluster.names[index % self.count]
        if name not in self.cluster.cores:
            return
        number = max(self.cluster.committed, default=0) + step
        if number == 0:
            return
        body = replicas.RULE + str(content).encode()
        key = self.cluster.submit(number, body, name)
        if key[1] is not None:
            self.keys[key] = (number, body)

    @stateful.invariant()
    def accepted_rules_stay_committed(self):
        if not hasattr(self, "cluster"):
            return
        for key, (number, body) in self.keys.items():
            reply = self.cluster.answers.get(key)
            if reply is not None and reply.outcome == YES:
                assert self.cluster.committed.setdefault(number, body) == body

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.heal()
        cluster.loss_rate = cluster.duplicate_rate = 0.0
        for name in cluster.names:
            cluster.disks[name].crash_at = None
            if name not in cluster.cores:
                cluster.start(name)
        highest = max(cluster.highest.values())
        cluster.wait_for_leader()
        cluster.run(3.0)
        assert {core.history.number for core in cluster.cores.values()} == {
            max(highest, max(cluster.committed, default=0))
        }


class ConsensusOfFiveMachine(ConsensusMachine):
    count = 5


TestConsensus = ConsensusMachine.TestCase
TestConsensus.settings = hypothesis_settings(stateful_step_count=40)
TestConsensusOfFive = ConsensusOfFiveMachine.TestCase
TestConsensusOfFive.settings = hypothesis_settings(stateful_step_count=40)


def test_candidate_with_an_older_log_gets_no_votes():
    cluster = replicas.Cluster()
    cluster.accept(1)
    leader = cluster.leader()
    old, new = [name for name in cluster.names if name != leader]
    cluster.isolate(old)
    cluster.accept(2)
    cluster.crash(leader)
    cluster.heal()
    for count in range(500):
        cluster.cores[new].replica._election_deadline_s = cluster.now_s + 1.0
        if count < 250:
            cluster.cores[old].replica._election_deadline_s = cluster.now_s
        cluster.step()
        assert cluster.cores[old].replica.role is not consensus.Role.LEADER
    cluster.cores[new].replica._election_deadline_s = cluster.now_s
    cluster.run_until(lambda: cluster.leader() == new)
    cluster.run_until(all_have_applied(cluster, 2))


def test_leader_does_not_commit_entries_of_an_earlier_term_by_counting_replicas():
    cluster = replicas.Cluster()
    cluster.accept(1)
    leader = cluster.leader()
    core = cluster.cores[leader]
    follower = next(n for n in cluster.names if n != leader)
    cluster.isolate(leader)
    core.submit(2, replicas.RULE, cluster.now_s)
    core.take_messages()
    replica = core.replica
    index, commit_index = replica.last_index, replica.commit_index
    replica._log.set_state(replica.term + 1, replica.member)
    replica._become_leader(cluster.now_s)
    message = control_pb2.ReplicaMessage(
        sender=cluster.cores[follower].replica.member,
        recipient=replica.member,
        term=replica.term,
        append_reply=control_pb2.AppendReply(is_success=True, match_index=index),
    )
    replica.receive(message, cluster.now_s)
    assert replica.commit_index == commit_index
    message.append_reply.match_index = index + 1
    replica.receive(message, cluster.now_s)
    assert replica.commit_index == index + 1


def test_isolated_leader_replies_unknown_to_repeated_and_early_numbers():
    cluster = replicas.Cluster()
    cluster.accept(1)
    leader = cluster.leader()
    cluster.isolate(leader)
    keys = [cluster.submit(number, replicas.RULE, leader) for number in (1, 3)]
    assert [answer(cluster, key).outcome for key in keys] == [UNKNOWN, UNKNOWN]


def all_links(names):
    return [(sender, recipient) for sender in names for recipient in names if sender != recipient]


def vote_replies(cluster, pair, is_probe):
    found = [m for m in cluster.held[pair] if m.WhichOneof("body") == "vote_reply"]
    return [m for m in found if m.vote_reply.is_probe == is_probe]


def set_election_deadlines(cluster, **delays_s):
    for name, core in cluster.cores.items():
        core.replica._election_deadline_s = cluster.now_s + delays_s.get(name, 60.0)


def campaign(cluster, name):
    set_election_deadlines(cluster, **{name: 0.0})
    cluster.step()


def cut_and_restart(cluster):
    """Kills all replicas and starts them while all links hold what they carry."""
    for name in cluster.names:
        cluster.crash(name)
    cluster.hold(*all_links(cluster.names))
    for name in cluster.names:
        cluster.start(name)
    set_election_deadlines(cluster)


def elect(cluster, name):
    """Lets a replica campaign until it leads; a first pre-vote may only tell it the term."""
    for _ in range(5):
        campaign(cluster, name)
        cluster.run(0.2)
        if cluster.cores[name].replica.role is consensus.Role.LEADER:
            return
    raise AssertionError(f"{name} was not elected")


def test_vote_of_an_earlier_term_elects_no_second_leader():
    """Guards against two leaders in a term: a late vote was counted in the next term."""
    cluster = replicas.Cluster(numbering="highest")
    a, b, c = cluster.names
    cluster.accept(1)
    cluster.isolate(b)
    cluster.accept(10)
    cluster.heal()
    cut_and_restart(cluster)
    campaign(cluster, a)
    campaign(cluster, a)
    set_election_deadlines(cluster)
    cluster.release((a, b))
    cluster.step()
    assert len(vote_replies(cluster, (b, a), is_probe=True)) == 2
    cluster.advance((b, a))
    cluster.step()
    cluster.step()
    (vote,) = vote_replies(cluster, (b, a), is_probe=False)
    cluster.hold((a, b))
    cluster.release((b, c), (c, b))
    elect(cluster, c)
    assert cluster.cores[c].replica.term == vote.term + 1
    campaign(cluster, a)
    cluster.advance((b, a), 2)
    assert cluster.cores[a].replica.term == vote.term + 1
    assert cluster.cores[a].replica.role is consensus.Role.CANDIDATE
    cluster.release(*all_links(cluster.names))
    cluster.run(0.3)
    cluster.submit(12, through=a)
    cluster.accept(15)
    cluster.run(2.0)
    reads = [cluster.read(name) for name in cluster.names]
    cluster.run(1.0)
    replies = [cluster.answers[key] for key in reads]
    assert {r.number_in_force for r in replies if r.outcome == YES} == {15}


def test_pre_vote_of_a_replica_in_a_lower_term_counts():
    cluster = replicas.Cluster()
    cluster.accept(1)
    cluster.run(1.0)
    a, b, c = cluster.names
    cut_and_restart(cluster)
    cluster.cores[a].replica._log.set_state(cluster.cores[b].replica.term + 3, "")
    cluster.release((a, b), (b, a), (a, c), (c, a))
    campaign(cluster, a)
    cluster.run(0.2)
    assert cluster.leader() == a


def test_hand_over_and_append_reply_of_an_earlier_term_change_nothing():
    cluster = replicas.Cluster()
    cluster.accept(1)
    leader = cluster.leader()
    replica = cluster.cores[leader].replica
    other = next(n for n in cluster.names if n != leader)
    sender = cluster.cores[other].replica.member
    reply = control_pb2.AppendReply(is_success=True, match_index=replica.last_index + 5, round=99)
    late = {"sender": sender, "term": replica.term - 1, "recipient": replica.member, "version": 7}
    replica.receive(control_pb2.ReplicaMessage(append_reply=reply, **late), cluster.now_s)
    assert replica._progress[sender].round < 99
    assert replica._versions[sender] == consensus.VERSION
    follower = cluster.cores[other].replica
    hand_over = control_pb2.ReplicaMessage(
        sender=replica.member,
        recipient=follower.member,
        term=follower.term - 1,
        timeout_now=control_pb2.TimeoutNow(),
    )
    for _ in range(3):
        cluster.cores[other].receive(hand_over, cluster.now_s)
    assert follower.role is consensus.Role.FOLLOWER
    logged = [n for n in cluster.cores[other].take_notices() if n.event.number == 511]
    assert [n.detail for n in logged] == [
        f"timeout_now of term {follower.term - 1} in term {follower.term}"
    ]
