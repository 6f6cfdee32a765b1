"""Links that hold bytes and deliver them later, in order, into another term or lifetime."""

import random

import pytest
import registry
import replicas

from zinniaspoke.proto import control_pb2

YES = control_pb2.SUBMIT_OUTCOME_YES
# Seeds 7, 18 and 49 had two leaders in a term: a late vote was counted in the next term.
ELECTION_SEEDS = range(60)
ELECTION_STEP_COUNT = 1500


class Elections:
    """Random elections of control replicas over late links.

    The cluster asserts that a term has one leader; here reads must not show a rule file that is
    older than one that had been accepted when the read began.
    """

    def __init__(self, *, seed):
        self.rng = random.Random(seed)
        self.cluster = replicas.Cluster(
            count=self.rng.choice((3, 3, 5)), seed=seed, numbering="highest"
        )
        self.cluster.accept(1)
        self.number = self.accepted = 1
        self.submitted = {}
        # The highest accepted number at the start of each read.
        self.reads = {}

    def random_link(self):
        return tuple(self.rng.sample(self.cluster.names, 2))

    def random_action(self):
        cluster, draw = self.cluster, self.rng.random()
        name = self.rng.choice(cluster.names)
        if draw < 0.06:
            cluster.hold(*(self.random_link() for _ in range(self.rng.randint(1, 4))))
        elif draw < 0.14:
            cluster.release(self.random_link())
        elif draw < 0.24:
            cluster.advance(self.random_link(), self.rng.randint(1, 4))
        elif draw < 0.25:
            for each in cluster.names:
                cluster.crash(each)
                cluster.start(each)
        elif draw < 0.26:
            cluster.crash(name)
            cluster.start(name)
        elif draw < 0.30 and name in cluster.cores:
            self.number += 1
            key = cluster.submit(self.number, through=name)
            self.submitted[key] = self.number
        elif draw < 0.36 and name in cluster.cores:
            self.reads[cluster.read(name)] = self.accepted

    def check_answers(self):
        answers = self.cluster.answers
        for key in [k for k in self.submitted if k in answers]:
            number = self.submitted.pop(key)
            if answers[key].outcome == YES:
                self.accepted = max(self.accepted, number)
        for key in [k for k in self.reads if k in answers]:
            least = self.reads.pop(key)
            if answers[key].outcome == YES:
                assert answers[key].number_in_force >= least

    def play(self):
        for _ in range(ELECTION_STEP_COUNT):
            self.random_action()
            self.cluster.step()
            self.check_answers()
        self.cluster.release(*list(self.cluster.held))
        self.cluster.accept(self.number + 1)
        self.cluster.run(3.0)
        numbers = {core.history.number for core in self.cluster.cores.values()}
        assert numbers == {self.number + 1}


@pytest.mark.parametrize("seed", ELECTION_SEEDS)
def test_random_elections_over_late_links(seed):
    Elections(seed=seed).play()


# Before the fix of flows that a target had taken before its restart was known, 21 seeds failed: 4,
# 11, 15, 20, 22, 25, 27, 48, 53, 55, 65, 67, 71, 77, 78, 84, 90, 91, 93, 107 and 119. After it, 19,
# 91 and 119 still did: a late deregistration ended a running target for good.
RESTART_SEEDS = range(120)
RESTART_STEP_COUNT = 120
# Flows that lose a datagram in the end.
LOST_COUNT = 4


class Restarts:
    """Targets that crash, leave and start again under their names, over late links.

    No flow may be reset while the process that holds it runs. Once all links are whole, running
    targets get new flows everywhere, and callers of ended processes are told.
    """

    def __init__(self, *, seed):
        self.rng = random.Random(seed)
        self.registry = registry.Registry(seed=seed, keeps_connections=bool(self.rng.randrange(2)))
        self.identities = list(self.registry.running)
        self.flows = []
        self.sequence = 0

    def random_link(self):
        sender = self.rng.choice((*self.identities, *registry.CONTROLS))
        recipients = [name for name in registry.CONTROLS if name != sender]
        if sender in registry.CONTROLS:
            recipients.append(registry.ENTRY)
        return sender, self.rng.choice(recipients)

    def random_action(self):
        play, draw = self.registry, self.rng.random()
        identity = self.rng.choice(self.identities)
        lifetime = play.running.get(identity)
        if lifetime is None:
            play.start(identity)
        elif draw < 0.10:
            play.hold(*self.random_link())
        elif draw < 0.20:
            play.release(*self.random_link())
        elif draw < 0.24:
            play.crash(identity)
        elif draw < 0.28 and lifetime.state is registry.READY:
            play.leave(identity)
        elif draw < 0.50:
            self.open_flow()
        elif draw < 0.70:
            self.ask(self.rng.random() < 0.3)

    def open_flow(self):
        opened = self.registry.open_flow()
        if opened is not None:
            self.flows.append(opened)

    def ask(self, is_lost):
        if self.flows:
            self.sequence += 10
            self.registry.ask(*self.rng.choice(self.flows), self.sequence, is_lost)

    def play(self):
        play = self.registry
        for _ in range(RESTART_STEP_COUNT):
            self.random_action()
            play.run(0.2)
            assert play.resets == []
        play.heal()
        play.run(12.0)
        self.check_states()
        self.check_flows()

    def check_flows(self):
        play = self.registry
        lost_count = 0
        for flow, token in self.flows:
            self.sequence += 10
            is_held = any(flow in lifetime.flows for lifetime in play.running.values())
            if is_held and lost_count < LOST_COUNT:
                lost_count += 1
                play.run(registry.LOSS_GAP_S)
            play.ask(flow, token, self.sequence, is_lost=is_held)
            assert play.resets == []
            assert is_held or flow in play.told or not self.is_answered(token)

    def check_states(self):
        for identity in self.identities:
            lifetime = self.registry.running.get(identity)
            if lifetime is not None and lifetime.state is registry.READY:
                assert self.registry.states(identity) == {registry.READY}

    def is_answered(self, token):
        """Whether a process runs under the name of a flow's target, which resets the flow."""
        found = self.registry.entry._table.find(token)
        return found is not None and found.target.identity in self.registry.running


@pytest.mark.parametrize("seed", RESTART_SEEDS)
def test_random_restarts_over_late_links(seed):
    Restarts(seed=seed).play()


@pytest.mark.parametrize("keeps_connections", [True, False])
@pytest.mark.parametrize("has_drained", [True, False])
@pytest.mark.parametrize("restart_count", [0, 1])
def test_end_at_one_control_vm_is_in_force_everywhere_at_once(
    keeps_connections, has_drained, restart_count
):
    play = registry.Registry(keeps_connections=keeps_connections)
    for _ in range(restart_count):
        play.crash("i-1")
        play.start("i-1")
        play.run(2.0)
    lifetime = play.running["i-1"]
    if has_drained:
        play.leave("i-1")
        play.run(0.2)
        assert play.states("i-1") == {registry.DRAINING}
    lifetime.leaves_s = play.now_s + 0.5
    play.run(0.5 + 3 * registry.STEP_S)
    assert not lifetime.is_running
    assert play.states("i-1") == {registry.ENDED}
    play.run(10.0)
    assert play.states("i-1") == {registry.ENDED}


@pytest.mark.parametrize("keeps_connections", [True, False])
def test_late_deregistration_of_an_earlier_incarnation_ends_no_running_target(keeps_connections):
    """Guards against resets, and a target without new flows, after a restart under its name.

    On a connection of its own the deregistration counts at first, but resets nothing.
    """
    play = registry.Registry(keeps_connections=keeps_connections)
    first = registry.CONTROLS[play.running["i-1"].control]
    play.leave("i-1")
    play.run(registry.DRAIN_S - 0.1)
    play.hold("i-1", first)
    play.run(registry.ANSWER_LIMIT_S + 0.3)
    assert "i-1" not in play.running
    lifetime = play.start("i-1")
    lifetime.control = (registry.CONTROLS.index(first) + 1) % 3
    play.run(1.0)
    flows = []
    while not lifetime.flows:
        flows.append(play.open_flow())
    (held,) = [found for found in flows if found[0] in lifetime.flows]
    play.release("i-1", first)
    play.run(0.2)
    ended = registry.READY if keeps_connections else registry.ENDED
    assert play.states("i-1") == {ended}
    play.ask(*held, 10, is_lost=True)
    assert play.resets == []
    play.run(2 * registry.INTERVAL_S)
    assert play.states("i-1") == {registry.READY}
    numbers = [n.event.number for n in play.controls[first].notices]
    assert (214 in numbers) == keeps_connections
    others = [n.event.number for c in play.controls.values() for n in c.notices]
    assert (213 in others) == (not keeps_connections)
