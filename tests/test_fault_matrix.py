"""Every fault at every stage of a replica set, from its bootstrap on."""

import pytest
import replicas

from zinniaspoke import errors

STAGES = ("bootstrap", "join", "propose", "read", "replace")
FAULTS = (
    "crash",
    "torn_write",
    "lose_disk",
    "pause",
    "pause_long",
    "isolate",
    "block_inbound",
    "disk_full",
    "crash_all",
)
# Before the first election, "leader" stands for a, which creates the initial replica set. d is not
# an initial voter.
VICTIMS = ("leader", "b", "d")
# Steps from the beginning of the stage to the fault. A message takes one step of 20 ms, and a write
# is in progress within a few steps.
FAULT_DELAY_STEPS = (1, 4, 17)
FAULT_DURATION_S = 4.0
RETRY_S = 0.8
YES, NO = 1, 2


class Scenario:
    """A cluster at one stage, and the calls whose replies have to hold despite a fault."""

    def __init__(self, seed):
        self.cluster = replicas.Cluster(
            seed=seed, joining=("d",), numbering="highest", voter_count=3, accepts_new_members=True
        )
        self.accepted = 0
        # By key of the call: the number of a submission, or for a read the negative of the lowest
        # number that it may return.
        self.calls = {}
        self.replaced_appends = {}

    def begin_stage(self, stage):
        """Prepares the cluster for a stage and begins it."""
        cluster = self.cluster
        if stage == "bootstrap":
            return
        if stage == "join":
            cluster.wait_for_leader()
            return
        self.accept()
        if stage == "propose":
            self.submit()
        elif stage == "read":
            self.read()
        elif stage == "replace":
            lost = next(n for n in "cb" if n != cluster.leader())
            cluster.lose_disk(lost)
            cluster.start(lost)

    def accept(self):
        number = self.accepted + 5
        self.cluster.accept(number)
        self.accepted = number

    def submit(self):
        name = self.cluster.leader()
        if name is not None and name not in self.cluster.paused:
            number = max(self.accepted, self.cluster.cores[name].history.number) + 3
            self.calls[self.cluster.submit(number, through=name)] = number

    def read(self):
        """Starts a read on each VM; its reply must not be older than what was accepted before."""
        for name in list(self.cluster.cores):
            if name not in self.cluster.paused:
                ticket = self.cluster.call_core(
                    name, lambda c, n=name: c.read(self.cluster.local_time_s(n))
                )
                self.calls[name, ticket] = -self.accepted

    def is_repaired(self):
        """Whether all voters in the replica set of any VM still have their disks."""
        own = {core.replica.member for core in self.cluster.cores.values()}
        sets = [core.replica.replica_set.voters for core in self.cluster.cores.values()]
        return all(set(members) <= own for members in sets)

    def inject(self, fault, victim):
        cluster = self.cluster
        name = (cluster.leader() or "a") if victim == "leader" else victim
        if fault == "crash":
            cluster.crash(name)
        elif fault == "crash_all":
            for other in cluster.names:
                cluster.crash(other)
        elif fault == "lose_disk":
            # Three voters tolerate one lost disk at a time: a second one may be lost as soon as the
            # first is replaced.
            cluster.run_until(self.is_repaired)
            cluster.lose_disk(name)
        elif fault == "torn_write":
            cluster.disks[name].crash_at = cluster.disks[name].operation_count + 2
        elif fault.startswith("pause"):
            cluster.pause(name)
        elif fault == "isolate":
            cluster.isolate(name)
        elif fault == "block_inbound":
            cluster.block_inbound(name)
        else:
            self._fill_disk(name)

    def _fill_disk(self, name):
        def refuse(file_name, data):
            raise errors.StorageError(step="append", peer=file_name, reason="full")

        disk = self.cluster.disks[name]
        self.replaced_appends[name] = disk.append
        disk.append = refuse

    def recover(self, fault):
        cluster = self.cluster
        cluster.heal()
        for name, append in self.replaced_appends.items():
            cluster.disks[name].append = append
        for name in list(cluster.paused):
            cluster.resume(name, are_connections_lost=fault == "pause_long")
            # Its state is out of date; a read that it gets now must not be answered from it.
            self.read()
        for name in cluster.names:
            cluster.disks[name].crash_at = None
            if name not in cluster.cores:
                cluster.start(name)

    def run(self, seconds):
        for _ in range(round(seconds / replicas.STEP_S)):
            self.cluster.step()
            self.check_answers()

    def check_answers(self):
        """Asserts that no submission was refused and that reads are not out of date."""
        for key in [k for k in self.calls if k in self.cluster.answers]:
            expected, reply = self.calls.pop(key), self.cluster.answers[key]
            assert reply.outcome != NO, reply
            if reply.outcome == YES and expected > 0:
                self.accepted = max(self.accepted, expected)
            elif reply.outcome == YES:
                assert reply.number_in_force >= -expected


@pytest.mark.parametrize("victim", VICTIMS)
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("stage", STAGES)
def test_fault_at_a_stage_loses_no_accepted_rules_and_the_replica_set_recovers(
    stage, fault, victim
):
    for delay_steps in FAULT_DELAY_STEPS:
        scenario = Scenario(seed=delay_steps)
        scenario.begin_stage(stage)
        scenario.run(delay_steps * replicas.STEP_S)
        scenario.inject(fault, victim)
        for _ in range(round(FAULT_DURATION_S / RETRY_S)):
            scenario.submit()
            scenario.read()
            scenario.run(RETRY_S)
        scenario.recover(fault)
        scenario.cluster.wait_for_leader()
        scenario.accept()
        scenario.cluster.run_until(
            lambda s=scenario: (
                len(s.cluster.voter_names()) == 3
                and {c.history.number for c in s.cluster.cores.values()} == {s.accepted}
            )
        )
        scenario.check_answers()
