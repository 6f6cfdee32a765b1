"""A simulated cluster of control replicas, with faults of disks, clocks, processes and network.

Messages may be lost, duplicated or reordered, and links may be blocked in one or both directions.
A link may also hold what it carries and deliver it later, in order.
"""

import random

from zinniaspoke import consensus, control, errors, log, storage
from zinniaspoke.proto import control_pb2

STEP_S = 0.02
NAMES = {1: ("a",), 3: ("a", "b", "c"), 5: ("a", "b", "c", "d", "e")}
RULE = b"10.0.0.1:80 tcp ledger # ana asked, for the counters: "


class Cluster:
    """Control replicas on in-memory storage that share a simulated clock and network.

    Raft's safety properties are asserted after every step.
    """

    def __init__(self, *, count=3, seed=1, joining=(), **membership):
        self.initial_voters = NAMES[count]
        self.names = (*self.initial_voters, *joining)
        self.membership = membership
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.disks = {name: storage.MemoryStorage(rng=self.rng) for name in self.names}
        self.cores = {}
        self.clock_offset_s = dict.fromkeys(self.names, 0.0)
        # Links that drop messages: a frozenset both ways, a pair (sender, recipient) one way.
        self.blocked_links = set()
        self.loss_rate = self.duplicate_rate = 0.0
        self.in_flight = []
        # Messages that late links hold, by (sender, recipient); each is delivered in order.
        self.held = {}
        # Messages buffered by the connections of paused VMs, by VM name.
        self.paused = {}
        self.answers = {}
        self.committed = {}
        self.leaders_by_term = {}
        # Highest rule file number that each replica has applied.
        self.highest = dict.fromkeys(self.names, 0)
        # Evacuated zones by revision, and the revision that each process has applied.
        self.places = {0: frozenset()}
        self.place_revisions = {}
        self.start_count = 0
        for name in self.names:
            self.start(name)

    def local_time_s(self, name):
        return self.now_s + self.clock_offset_s[name]

    def start(self, name):
        try:
            entries = log.Log(files=self.disks[name])
            core = control.Control(
                name=name,
                initial_voters=self.initial_voters,
                entries=entries,
                rng=self.rng,
                now_s=self.local_time_s(name),
                **self.membership,
            )
            # Answers to an earlier process stay apart.
            self.start_count += 1
            core._next_ticket = 1_000_000 * self.start_count
            self.cores[name] = core
            self.place_revisions.pop(id(core), None)
        except storage.SimulatedCrash:
            self.crash(name)

    def crash(self, name):
        self._end_process(name)
        self.disks[name].crash()

    def _end_process(self, name):
        """Ends a process; what late links hold from it or for it is lost."""
        self.cores.pop(name, None)
        for pair, messages in self.held.items():
            if name in pair:
                messages.clear()

    def lose_disk(self, name):
        """Stops a VM and wipes its data folder, as if the disk had been replaced."""
        self._end_process(name)
        self.disks[name].wipe()

    def call_core(self, name, call, *arguments):
        """Calls a core and stops it if its storage simulates a crash."""
        core = self.cores.get(name)
        if core is None:
            return None
        try:
            return call(core, *arguments)
        except storage.SimulatedCrash:
            self.crash(name)
            return None
        except errors.StorageError:
            # The daemon logs the error and continues.
            return None

    def step(self):
        self.now_s += STEP_S
        for name in self.names:
            if name not in self.paused:
                self.call_core(name, lambda core, n=name: core.tick(self.local_time_s(n)))
        self._deliver_in_flight()
        self._check()

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def run_until(self, condition, limit_s=20.0):
        deadline_s = self.now_s + limit_s
        while not condition():
            assert self.now_s < deadline_s, "condition not met in time"
            self.step()

    def _deliver_in_flight(self):
        arriving, self.in_flight = self.in_flight, []
        self.rng.shuffle(arriving)
        for message in arriving:
            self._arrive(message)
        for name, core in list(self.cores.items()):
            for message in core.take_messages():
                self._post(name, message)
            for answer in core.take_answers():
                self.answers[name, answer.ticket] = answer.reply

    def _arrive(self, message):
        name = consensus.name_of(message.recipient)
        if name in self.paused:
            self.paused[name].append(message)
        else:
            self._deliver(name, message)

    def _deliver(self, name, message):
        self.call_core(name, lambda core: core.receive(message, self.local_time_s(name)))

    def pause(self, name):
        """Pauses a VM, as when it is suspended or blocked on a disk that does not respond."""
        self.paused.setdefault(name, [])

    def resume(self, name, are_connections_lost=False):
        """Resumes a VM, which handles the messages buffered by its connections before its timers.

        After a long pause its peers have closed the connections and the messages are lost.
        """
        buffered = self.paused.pop(name, ())
        for message in () if are_connections_lost else buffered:
            self._deliver(name, message)

    def hold(self, *pairs):
        """Makes links late: they keep all messages from now on.

        Args:
            *pairs: The links as (sender, recipient).
        """
        for pair in pairs:
            self.held.setdefault(pair, [])

    def advance(self, pair, count=1):
        """Delivers the first messages that a late link holds, in order; it stays late."""
        for _ in range(min(count, len(self.held.get(pair, ())))):
            self._arrive(self.held[pair].pop(0))
            self._check()

    def release(self, *pairs):
        """Delivers all that late links hold, in order; they are late no longer."""
        for pair in pairs:
            self.advance(pair, len(self.held.get(pair, ())))
            self.held.pop(pair, None)

    def _post(self, name, message):
        recipient = consensus.name_of(message.recipient)
        if (name, recipient) in self.held:
            self.held[name, recipient].append(message)
            return
        if (
            frozenset((name, recipient)) in self.blocked_links
            or (name, recipient) in self.blocked_links
        ):
            return
        copies = (
            0
            if self.rng.random() < self.loss_rate
            else 1 + (self.rng.random() < self.duplicate_rate)
        )
        self.in_flight.extend([message] * copies)

    def add(self, name):
        """Adds a VM with an empty data folder."""
        self.names = (*self.names, name)
        self.clock_offset_s[name] = 0.0
        self.highest[name] = 0
        self.disks[name] = storage.MemoryStorage(rng=self.rng)
        self.start(name)

    def voter_names(self):
        replica = self.cores[self.wait_for_leader()].replica
        return sorted(consensus.name_of(voter) for voter in replica.replica_set.voters)

    def isolate(self, name):
        """Drops all messages to and from a VM."""
        self.blocked_links |= {frozenset((name, other)) for other in self.names if other != name}

    def block_inbound(self, name):
        """Drops all messages to a VM, while those from it are delivered."""
        self.blocked_links |= {(other, name) for other in self.names if other != name}

    def heal(self):
        """Delivers messages on all links again."""
        self.blocked_links = set()

    def _check(self):
        """Asserts that a term has one leader and that a committed rule file never changes.

        It also records the highest number per replica; tests use it to find lost rule files.
        """
        for name, core in self.cores.items():
            replica = core.replica
            if replica.role is consensus.Role.LEADER:
                known = self.leaders_by_term.setdefault(replica.term, replica.member)
                assert known == replica.member, f"two leaders in term {replica.term}"
            self._check_committed(core)
            self.highest[name] = max(self.highest[name], core.history.number)
            self._check_places(core)

    def _check_places(self, core):
        """Asserts that a revision means the same zones everywhere and never falls in a process."""
        places = core.evacuations
        known = self.places.setdefault(places.revision, places.zones)
        assert known == places.zones, f"evacuated zones of revision {places.revision} changed"
        assert self.place_revisions.get(id(core), 0) <= places.revision
        self.place_revisions[id(core)] = places.revision

    def _check_committed(self, core):
        current = core.history.current
        if current.number:
            known = self.committed.setdefault(current.number, current.content)
            assert known == current.content, f"rule file {current.number} changed"

    def leader(self):
        """Returns the newest leader that has committed an entry of its own term, or None."""
        leaders = [
            n
            for n, core in self.cores.items()
            if core.replica.role is consensus.Role.LEADER
            and core.replica._log.term_at(core.replica.commit_index) == core.replica.term
        ]
        return max(leaders, key=lambda n: self.cores[n].replica.term) if leaders else None

    def wait_for_leader(self):
        self.run_until(lambda: self.leader() is not None)
        return self.leader()

    def submit(self, number, content=RULE, through=None):
        """Submits a rule file and returns the key of its reply in ``answers``."""
        name = through or self.wait_for_leader()
        ticket = self.call_core(name, lambda c: c.submit(number, content, self.local_time_s(name)))
        return name, ticket

    def read(self, through):
        """Starts a read of the rule file and returns the key of its reply in ``answers``."""
        return through, self.call_core(through, lambda c: c.read(self.local_time_s(through)))

    def order(self, zone, is_evacuated=True, through=None, latest_s=None):
        """Gives a zone order and returns the key of its reply in ``answers``."""
        name = through or self.wait_for_leader()
        made = control_pb2.ZoneOrder(zone=zone, is_evacuated=is_evacuated)
        ticket = self.call_core(name, lambda c: c.order(made, self.local_time_s(name), latest_s))
        return name, ticket

    def accept(self, number, content=RULE):
        """Submits a rule file until the reply is yes, and returns the reply."""
        deadline_s = self.now_s + 20.0
        while self.now_s < deadline_s:
            key = self.submit(number, content)
            reply_deadline_s = self.now_s + 6.0
            while key not in self.answers and self.now_s < reply_deadline_s:
                self.step()
            reply = self.answers.get(key)
            if reply is not None and reply.outcome == 1:
                return reply
            assert reply is None or reply.outcome != 2, reply
        raise AssertionError("rule file not accepted in time")
