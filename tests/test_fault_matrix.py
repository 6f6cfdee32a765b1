"""Every trouble at every stage of a set of control VMs, from its founding on."""

import pytest
import replicas

from zinniaspoke import errors

STAGES = ("found", "join", "propose", "read", "replace")
TROUBLES = (
    "kill",
    "torn_write",
    "wipe",
    "stand_still",
    "stand_still_long",
    "cut",
    "deafen",
    "disk_full",
    "kill_all",
)
# Before there is a leader, the founder that writes the first set: a. d is no founder.
VICTIMS = ("leader", "b", "d")
# Messages take one step of 20 ms; a write is under way within a few.
MOMENTS = (1, 4, 17)
TROUBLE_S = 4.0
RETRY_S = 0.8
YES, NO = 1, 2


class Scene:
    """A set at one stage, a trouble, and what was promised meanwhile."""

    def __init__(self, seed):
        self.cluster = replicas.Cluster(
            seed=seed, joining=("d",), numbering="highest", voter_count=3, accepts_new_members=True
        )
        self.accepted = 0
        self.calls = {}
        self.refusals = {}

    def enter(self, stage):
        """Brings the set to where the stage is about to begin, then begins it."""
        cluster = self.cluster
        if stage == "found":
            return
        if stage == "join":
            cluster.wait_leader()
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
        if name is not None and name not in self.cluster.standing:
            number = max(self.accepted, self.cluster.cores[name].history.number) + 3
            self.calls[self.cluster.submit(number, through=name)] = number

    def read(self):
        """A read is answered with a file that is as new as what was accepted before it."""
        for name in list(self.cluster.cores):
            if name not in self.cluster.standing:
                ticket = self.cluster.guarded(
                    name, lambda c, n=name: c.read(self.cluster.time_of(n))
                )
                self.calls[name, ticket] = -self.accepted

    def is_repaired(self):
        """Whether every voter that some VM counts on still has its disk."""
        own = {core.replica.member for core in self.cluster.cores.values()}
        sets = [core.replica.replica_set.voters for core in self.cluster.cores.values()]
        return all(set(members) <= own for members in sets)

    def strike(self, trouble, victim):
        cluster = self.cluster
        name = (cluster.leader() or "a") if victim == "leader" else victim
        if trouble == "kill":
            cluster.crash(name)
        elif trouble == "kill_all":
            for other in cluster.names:
                cluster.crash(other)
        elif trouble == "wipe":
            # One disk may be lost at a time: a second one right after the first is repaired.
            cluster.run_until(self.is_repaired)
            cluster.lose_disk(name)
        elif trouble == "torn_write":
            cluster.disks[name].crash_at = cluster.disks[name].operation_count + 2
        elif trouble.startswith("stand_still"):
            cluster.stand_still(name)
        elif trouble == "cut":
            cluster.isolate(name)
        elif trouble == "deafen":
            cluster.deafen(name)
        else:
            self._fill(name)

    def _fill(self, name):
        def refuse(file_name, data):
            raise errors.StorageError(step="append", peer=file_name, reason="full")

        disk = self.cluster.disks[name]
        self.refusals[name] = disk.append
        disk.append = refuse

    def mend(self, trouble):
        cluster = self.cluster
        cluster.heal()
        for name, append in self.refusals.items():
            cluster.disks[name].append = append
        for name in list(cluster.standing):
            cluster.go_on(name, are_links_lost=trouble == "stand_still_long")
            # What it believes is old; whoever asks it now must not be told so as new.
            self.read()
        for name in cluster.names:
            cluster.disks[name].crash_at = None
            if name not in cluster.cores:
                cluster.start(name)

    def run(self, seconds):
        for _ in range(round(seconds / replicas.STEP_S)):
            self.cluster.step()
            self.judge()

    def judge(self):
        """What was answered holds; a read shows nothing older than what it had to."""
        for key in [k for k in self.calls if k in self.cluster.answers]:
            asked, reply = self.calls.pop(key), self.cluster.answers[key]
            assert reply.outcome != NO, reply
            if reply.outcome == YES and asked > 0:
                self.accepted = max(self.accepted, asked)
            elif reply.outcome == YES:
                assert reply.number_in_force >= -asked


@pytest.mark.parametrize("victim", VICTIMS)
@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("stage", STAGES)
def test_trouble_at_a_stage_loses_nothing_accepted_and_the_set_comes_back(stage, trouble, victim):
    for moment in MOMENTS:
        scene = Scene(seed=moment)
        scene.enter(stage)
        scene.run(moment * replicas.STEP_S)
        scene.strike(trouble, victim)
        for _ in range(round(TROUBLE_S / RETRY_S)):
            scene.submit()
            scene.read()
            scene.run(RETRY_S)
        scene.mend(trouble)
        scene.cluster.wait_leader()
        scene.accept()
        scene.cluster.run_until(
            lambda s=scene: (
                len(s.cluster.voter_names()) == 3
                and {c.history.number for c in s.cluster.cores.values()} == {s.accepted}
            )
        )
        scene.judge()
