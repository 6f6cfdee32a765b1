"""Links that hold bytes and deliver them later, in order, into another term or lifetime."""

import random

import pytest
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
