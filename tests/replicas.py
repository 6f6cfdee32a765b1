"""Control cores on memory disks, joined by a network that loses, repeats, reorders and cuts."""

import random

from zinniaspoke import consensus, control, errors, log, storage

STEP_S = 0.02
NAMES = {1: ("a",), 3: ("a", "b", "c"), 5: ("a", "b", "c", "d", "e")}
RULE = b"10.0.0.1:80 tcp ledger # ana asked, for the counters: "


class Cluster:
    def __init__(self, *, count=3, seed=1, joining=(), **membership):
        self.initial_voters = NAMES[count]
        self.names = (*self.initial_voters, *joining)
        self.membership = membership
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.disks = {name: storage.MemoryStorage(rng=self.rng) for name in self.names}
        self.cores = {}
        self.clock_shift_s = dict.fromkeys(self.names, 0.0)
        self.cut = set()
        self.loss = self.repeat = 0.0
        self.in_flight = []
        # Messages kept by the connections of a VM that stands still, by its name.
        self.standing = {}
        self.answers = {}
        self.committed = {}
        self.leaders = {}
        self.highest = dict.fromkeys(self.names, 0)
        for name in self.names:
            self.start(name)

    def time_of(self, name):
        return self.now_s + self.clock_shift_s[name]

    def start(self, name):
        try:
            entries = log.Log(files=self.disks[name])
            self.cores[name] = control.Control(
                name=name,
                initial_voters=self.initial_voters,
                entries=entries,
                rng=self.rng,
                now_s=self.time_of(name),
                **self.membership,
            )
        except storage.Crash:
            self.crash(name)

    def crash(self, name):
        self.cores.pop(name, None)
        self.disks[name].crash()

    def lose_disk(self, name):
        self.cores.pop(name, None)
        self.disks[name].wipe()

    def guarded(self, name, call, *arguments):
        """Runs a core; a crash that the disk was told to make ends the process."""
        core = self.cores.get(name)
        if core is None:
            return None
        try:
            return call(core, *arguments)
        except storage.Crash:
            self.crash(name)
            return None
        except errors.StorageError:
            # The program logs it and goes on.
            return None

    def step(self):
        self.now_s += STEP_S
        for name in self.names:
            if name not in self.standing:
                self.guarded(name, lambda core, n=name: core.tick(self.time_of(n)))
        self._carry()
        self._check()

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def run_until(self, condition, limit_s=20.0):
        deadline_s = self.now_s + limit_s
        while not condition():
            assert self.now_s < deadline_s, "not in time"
            self.step()

    def _carry(self):
        arriving, self.in_flight = self.in_flight, []
        self.rng.shuffle(arriving)
        for message in arriving:
            name = consensus.name_of(message.recipient)
            if name in self.standing:
                self.standing[name].append(message)
            else:
                self._deliver(name, message)
        for name, core in list(self.cores.items()):
            for message in core.take_messages():
                self._post(name, message)
            for answer in core.take_answers():
                self.answers[name, answer.ticket] = answer.reply

    def _deliver(self, name, message):
        self.guarded(name, lambda core: core.receive(message, self.time_of(name)))

    def stand_still(self, name):
        """Freezes a VM, or holds it up in a call to a disk that answers nothing."""
        self.standing.setdefault(name, [])

    def go_on(self, name, are_links_lost=False):
        """The VM goes on with what its connections kept, before it looks at the clock.

        Its peers give the connections up when it stands still for long; then it hears nothing.
        """
        kept = self.standing.pop(name, ())
        for message in () if are_links_lost else kept:
            self._deliver(name, message)

    def _post(self, name, message):
        recipient = consensus.name_of(message.recipient)
        if frozenset((name, recipient)) in self.cut or (name, recipient) in self.cut:
            return
        copies = 0 if self.rng.random() < self.loss else 1 + (self.rng.random() < self.repeat)
        self.in_flight.extend([message] * copies)

    def add(self, name):
        """Adds a VM with an empty disk."""
        self.names = (*self.names, name)
        self.clock_shift_s[name] = 0.0
        self.highest[name] = 0
        self.disks[name] = storage.MemoryStorage(rng=self.rng)
        self.start(name)

    def voter_names(self):
        replica = self.cores[self.wait_leader()].replica
        return sorted(consensus.name_of(voter) for voter in replica.replica_set.voters)

    def isolate(self, name):
        self.cut |= {frozenset((name, other)) for other in self.names if other != name}

    def deafen(self, name):
        """Cuts a VM off one way: what it sends arrives, nothing reaches it."""
        self.cut |= {(other, name) for other in self.names if other != name}

    def heal(self):
        self.cut = set()

    def _check(self):
        """One leader a term, committed never lost or changed, number never down."""
        for name, core in self.cores.items():
            replica = core.replica
            if replica.role is consensus.Role.LEADER:
                known = self.leaders.setdefault(replica.term, replica.member)
                assert known == replica.member, f"two leaders in term {replica.term}"
            self._check_committed(core)
            self.highest[name] = max(self.highest[name], core.history.number)

    def _check_committed(self, core):
        current = core.history.current
        if current.number:
            known = self.committed.setdefault(current.number, current.content)
            assert known == current.content, f"rule file {current.number} changed"

    def leader(self):
        found = [
            n
            for n, core in self.cores.items()
            if core.replica.role is consensus.Role.LEADER
            and core.replica._log.term_at(core.replica.commit_index) == core.replica.term
        ]
        return max(found, key=lambda n: self.cores[n].replica.term) if found else None

    def wait_leader(self):
        self.run_until(lambda: self.leader() is not None)
        return self.leader()

    def submit(self, number, content=RULE, through=None):
        """Submits and returns the key under which the answer comes."""
        name = through or self.wait_leader()
        ticket = self.guarded(name, lambda c: c.submit(number, content, self.time_of(name)))
        return name, ticket

    def accept(self, number, content=RULE):
        """Submits until the answer is yes."""
        deadline_s = self.now_s + 20.0
        while self.now_s < deadline_s:
            key = self.submit(number, content)
            limit_s = self.now_s + 6.0
            while key not in self.answers and self.now_s < limit_s:
                self.step()
            reply = self.answers.get(key)
            if reply is not None and reply.outcome == 1:
                return reply
            assert reply is None or reply.outcome != 2, reply
        raise AssertionError("not accepted in time")
