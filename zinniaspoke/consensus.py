"""Agreement between control replicas by Raft's rules, without sockets or clocks.

Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, with pre-vote,
check-quorum, learners, changes of one voter at a time and leadership transfer from Ongaro's
dissertation.
"""

import enum
import random
from collections.abc import Callable

import attrs

from zinniaspoke import errors, joining, log, voters
from zinniaspoke.proto import control_pb2

HEARTBEAT_S = 0.1
ELECTION_LEAST_S = 0.5
ELECTION_MOST_S = 1.0
# A replica that has heard no leader since its start asks sooner; the pre-vote keeps it from
# disturbing one that is there.
FIRST_ELECTION_LEAST_S = 0.15
FIRST_ELECTION_MOST_S = 0.45
# A replica without a leader for this long asks to join, in case it was left out of the set.
FORGOTTEN_S = 2.0
ENTRY_BATCH_COUNT = 64
SNAPSHOT_AFTER_COUNT = 256
# Rule files are large; the log in memory stays below this.
SNAPSHOT_AFTER_BYTES = 512 * 1024

_HANDLERS: dict[str, Callable] = {}


def _handles(field: str) -> Callable:
    """Registers the handler of one kind of message body."""

    def register(method: Callable) -> Callable:
        _HANDLERS[field] = method
        return method

    return register


class Role(enum.Enum):
    """What a replica is."""

    OUTSIDER = "outsider"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define(kw_only=True, slots=True)
class Progress:
    """What the leader knows of another replica.

    Attributes:
        next_index: Next entry to send.
        match_index: Last entry known to be held.
        round: Newest heartbeat round that was answered.
        answered_s: When it last answered.
        sent_s: When something was last sent.
    """

    next_index: int
    match_index: int = 0
    round: int = 0
    answered_s: float = -1e9
    sent_s: float = -1e9


@attrs.frozen(kw_only=True)
class Read:
    """A read that waits until a majority has confirmed the leader.

    Attributes:
        ticket: The caller's number.
        round: Heartbeat round that a majority has to answer.
        index: Commit index that has to be applied first.
    """

    ticket: int
    round: int
    index: int


name_of = voters.name_of


class Replica:
    """One replica of the log.

    Attributes:
        member: This replica as NAME/IDENTITY.
        discovery: What it knows of replicas outside the set.
        role: What it is now.
        leader: Name of the leader, or empty.
        commit_index: Last entry known to be committed.
        messages: Messages to send; the adapter takes them.
        committed_entries: Committed entries to apply; the state machine takes them.
        confirmed_reads: Tickets of confirmed reads.
        installed_snapshot: A snapshot that the state machine has to load, or None.
    """

    def __init__(
        self,
        *,
        name: str,
        initial_voters: tuple[str, ...],
        entries: log.Log,
        rng: random.Random,
        now_s: float,
        voter_count: int = 0,
        accepts_new_members: bool = False,
        may_bootstrap: bool = True,
    ) -> None:
        """Starts from what the log holds.

        Args:
            name: This replica's name.
            initial_voters: Names of the replicas of the first set.
            entries: The log on storage.
            rng: Seeded random source.
            now_s: Current time.
            voter_count: Voters that the set should have; 0 for as many as there are initial voters.
            accepts_new_members: Whether replicas that are not initial voters may join.
            may_bootstrap: Whether the first set may be made by this process.
        """
        self._name = name
        self.discovery = joining.PeerDiscovery(
            name=name,
            initial_voters=initial_voters,
            accepts_new_members=accepts_new_members,
            may_bootstrap=may_bootstrap,
        )
        self._log = entries
        self._rng = rng
        self.member = f"{name}/{entries.identity}"
        self.role = Role.OUTSIDER
        self.leader = ""
        self.commit_index = entries.snapshot.last_index
        self.messages: list[control_pb2.ReplicaMessage] = []
        self.committed_entries: list[control_pb2.LogEntry] = []
        self.confirmed_reads: list[int] = []
        self.installed_snapshot: control_pb2.Snapshot | None = None
        self._applied_index = self.commit_index
        self._votes: set[str] = set()
        self._is_probing = False
        self._progress: dict[str, Progress] = {}
        self._round = 0
        self._reads: list[Read] = []
        self._heard_leader_s = -1e9
        self._has_heard_leader = False
        self._deadline_s = 0.0
        self._transfer_to = ""
        self._set = control_pb2.ReplicaSet()
        self._set_index = 0
        self._find_set()
        self._repair = voters.Repair(
            own=self.member, voter_count=voter_count or len(initial_voters)
        )
        self._become_follower(now_s)

    # Replica sets

    def _find_set(self) -> None:
        """Takes the newest replica set of the log, committed or not."""
        self._set = self._log.snapshot.replica_set
        self._set_index = self._log.snapshot.last_index
        for entry in self._log.between(self._set_index + 1, self._log.last_index):
            if entry.WhichOneof("command") == "replica_set":
                self._set = entry.replica_set
                self._set_index = entry.index

    @property
    def replica_set(self) -> control_pb2.ReplicaSet:
        """The newest replica set."""
        return self._set

    @property
    def term(self) -> int:
        """The current term."""
        return self._log.state.term

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._log.last_index

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter of the newest set."""
        return self.member in self._set.voters

    def has_leader(self, now_s: float) -> bool:
        """Whether a leader with a majority was heard of lately.

        Args:
            now_s: Current time.
        """
        if self.role is Role.LEADER:
            return self._is_heard_by_majority(now_s)
        return now_s - self._heard_leader_s < ELECTION_MOST_S

    def _is_heard_by_majority(self, now_s: float) -> bool:
        heard = {m for m, p in self._progress.items() if now_s - p.answered_s < ELECTION_MOST_S}
        return self._has_majority(heard | {self.member})

    def member_names(self) -> set[str]:
        """Returns the names of all members of the newest set."""
        return {name_of(member) for member in (*self._set.voters, *self._set.learners)}

    def _others(self) -> list[str]:
        members = [*self._set.voters, *self._set.learners]
        return [member for member in members if member != self.member]

    def _has_majority(self, members: set[str]) -> bool:
        counted = self._set.voters
        return sum(voter in members for voter in counted) * 2 > len(counted)

    # Time

    def tick(self, now_s: float) -> None:
        """Does what is due.

        Args:
            now_s: Current time.
        """
        if self._is_forgotten(now_s):
            self._ask_to_join(now_s)
        if self.role is Role.LEADER:
            self._lead(now_s)
        elif self.is_voter and now_s >= self._deadline_s:
            self._probe(now_s)

    def _reset_deadline(self, now_s: float) -> None:
        least_s, most_s = ELECTION_LEAST_S, ELECTION_MOST_S
        if not self._has_heard_leader:
            least_s, most_s = FIRST_ELECTION_LEAST_S, FIRST_ELECTION_MOST_S
        self._deadline_s = now_s + self._rng.uniform(least_s, most_s)

    def _send(self, recipient: str, **body: object) -> None:
        self.messages.append(
            control_pb2.ReplicaMessage(
                sender=self.member, recipient=recipient, term=self.term, **body
            )
        )

    # First set and repaired replicas

    def _is_forgotten(self, now_s: float) -> bool:
        """Whether this replica is in no set, or may have been taken out while it was away."""
        if self.member not in (*self._set.voters, *self._set.learners):
            return True
        has_leader = self.role is Role.LEADER or now_s - self._heard_leader_s < FORGOTTEN_S
        return self.discovery.accepts_new_members and not has_leader

    def _ask_to_join(self, now_s: float) -> None:
        for name in self.discovery.whom_to_ask(self._others(), now_s):
            self._send(name, join_request=control_pb2.JoinRequest())
        self._found_when_all_are_there()

    @_handles("join_request")
    def _on_join_request(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        known = (*self._set.voters, *self._set.learners)
        if message.sender in known:
            self._offer_first_set(message.sender)
        if self.role is Role.LEADER and message.sender not in known:
            self.discovery.take_request(message.sender, now_s)
        reply = control_pb2.JoinReply(
            is_empty=self._log.is_empty, member_names=sorted({name_of(m) for m in known})
        )
        self._send(message.sender, join_reply=reply)

    def _offer_first_set(self, member: str) -> None:
        """Gives the first set to an empty replica that it names by identity.

        An identity is made with an empty folder, so a replica that lost its disk is never named.
        """
        if self._log.snapshot.last_index == 1 and self._log.snapshot.last_term == 0:
            self._send(
                member,
                install_snapshot=control_pb2.InstallSnapshot(
                    snapshot=self._log.snapshot, is_founding=True
                ),
            )

    @_handles("join_reply")
    def _on_join_reply(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        reply = message.join_reply
        self.discovery.take_reply(message.sender, reply.is_empty, reply.member_names)
        self._found_when_all_are_there()

    def _found_when_all_are_there(self) -> None:
        """Writes the first set."""
        others = self.discovery.other_initial_voters() if self._log.is_empty else None
        if others is None:
            return
        snapshot = control_pb2.Snapshot(
            last_index=1, replica_set=control_pb2.ReplicaSet(voters=sorted([self.member, *others]))
        )
        self._adopt_snapshot(snapshot)
        for member in self._others():
            self._offer_first_set(member)

    def _adopt_snapshot(self, snapshot: control_pb2.Snapshot) -> None:
        self._log.install(snapshot)
        self.installed_snapshot = snapshot
        self.commit_index = max(self.commit_index, snapshot.last_index)
        self._applied_index = snapshot.last_index
        self.committed_entries = [
            e for e in self.committed_entries if e.index > snapshot.last_index
        ]
        self._find_set()

    # Elections

    def _become_follower(self, now_s: float) -> None:
        if self.is_voter:
            self.role = Role.FOLLOWER
        elif self.member in self._set.learners:
            self.role = Role.LEARNER
        else:
            self.role = Role.OUTSIDER
        self._votes = set()
        self._reads = []
        self._transfer_to = ""
        self._reset_deadline(now_s)

    def _enter_term(self, term: int, now_s: float) -> None:
        self._log.set_state(term, "")
        self.leader = ""
        self._become_follower(now_s)

    def _probe(self, now_s: float) -> None:
        """Asks whether an election would be won, without disturbing anyone."""
        self.role = Role.CANDIDATE
        self.leader = ""
        self._is_probing = True
        self._ask_for_votes(now_s, is_transfer=False)

    def _stand(self, now_s: float, is_transfer: bool) -> None:
        """Stands for election in a new term."""
        self._log.set_state(self.term + 1, self.member)
        self.role = Role.CANDIDATE
        self.leader = ""
        self._is_probing = False
        self._ask_for_votes(now_s, is_transfer)

    def _ask_for_votes(self, now_s: float, is_transfer: bool) -> None:
        self._reset_deadline(now_s)
        self._votes = {self.member}
        request = control_pb2.VoteRequest(
            last_index=self._log.last_index,
            last_term=self._log.last_term,
            is_probe=self._is_probing,
            is_transfer=is_transfer,
        )
        for voter in self._set.voters:
            if voter != self.member:
                self._send(voter, vote_request=request)
        self._count_votes(now_s)

    @_handles("vote_request")
    def _on_vote_request(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        request = message.vote_request
        heard_leader = now_s - self._heard_leader_s < ELECTION_LEAST_S or self.role is Role.LEADER
        if heard_leader and not request.is_transfer:
            return
        # A learner votes too: the candidate's set may name it a voter before it has learnt so.
        if not request.is_probe and message.term > self.term:
            self._enter_term(message.term, now_s)
        grants = self._may_vote(message)
        if grants and not request.is_probe:
            self._log.set_state(self.term, message.sender)
            self._reset_deadline(now_s)
        reply = control_pb2.VoteReply(is_granted=grants, is_probe=request.is_probe)
        self._send(message.sender, vote_reply=reply)

    def _may_vote(self, message: control_pb2.ReplicaMessage) -> bool:
        request = message.vote_request
        own = (self._log.last_term, self._log.last_index)
        if (request.last_term, request.last_index) < own:
            return False
        if request.is_probe:
            return message.term >= self.term
        voted_for = self._log.state.voted_for
        return message.term == self.term and voted_for in ("", message.sender)

    @_handles("vote_reply")
    def _on_vote_reply(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        reply = message.vote_reply
        if self.role is not Role.CANDIDATE or reply.is_probe != self._is_probing:
            return
        if reply.is_granted:
            self._votes.add(message.sender)
            self._count_votes(now_s)

    def _count_votes(self, now_s: float) -> None:
        if not self._has_majority(self._votes):
            return
        if self._is_probing:
            self._stand(now_s, is_transfer=False)
        else:
            self._become_leader(now_s)

    def _become_leader(self, now_s: float) -> None:
        self.role = Role.LEADER
        self._has_heard_leader = True
        self.leader = self._name
        self._progress = {}
        self._reads = []
        self._transfer_to = ""
        self._round = 0
        for member in self._others():
            self._track(member, now_s)
        self._append(control_pb2.LogEntry(is_barrier=True), now_s)

    def _track(self, member: str, now_s: float) -> Progress:
        progress = Progress(next_index=self._log.last_index + 1, answered_s=now_s)
        self._progress[member] = progress
        return progress

    # Leading

    def _lead(self, now_s: float) -> None:
        if not self._is_heard_by_majority(now_s):
            self.leader = ""
            self._become_follower(now_s)
            return
        if any(now_s - p.sent_s >= HEARTBEAT_S for p in self._progress.values()):
            self._broadcast(now_s)
        self._advance_repair(now_s)

    def _broadcast(self, now_s: float) -> None:
        self._round += 1
        for member in self._others():
            self._replicate(member, now_s)

    def _replicate(self, member: str, now_s: float) -> None:
        progress = self._progress.get(member) or self._track(member, now_s)
        progress.sent_s = now_s
        previous_index = progress.next_index - 1
        previous_term = self._log.term_at(previous_index)
        if previous_term is None:
            install = control_pb2.InstallSnapshot(snapshot=self._log.snapshot, round=self._round)
            self._send(member, install_snapshot=install)
            return
        last_index = min(self._log.last_index, previous_index + ENTRY_BATCH_COUNT)
        request = control_pb2.AppendRequest(
            previous_index=previous_index,
            previous_term=previous_term,
            commit_index=self.commit_index,
            entries=self._log.between(progress.next_index, last_index),
            round=self._round,
        )
        self._send(member, append_request=request)

    def _append(self, entry: control_pb2.LogEntry, now_s: float) -> int:
        entry.index = self._log.last_index + 1
        entry.term = self.term
        try:
            self._log.append([entry])
        except errors.StorageError:
            # A leader that cannot store makes room for one that can.
            self.leader = ""
            self._become_follower(now_s)
            raise
        self._find_set()
        self._broadcast(now_s)
        self._advance_commit(now_s)
        return entry.index

    def propose(self, file: control_pb2.RuleFile, now_s: float) -> int | errors.Nothing:
        """Proposes a rule file.

        Args:
            file: The file.
            now_s: Current time.

        Returns:
            The entry's index, or the reason why nothing was proposed.
        """
        if self.role is not Role.LEADER:
            return errors.Nothing(reason="not_leader")
        if self._transfer_to:
            return errors.Nothing(reason="leadership_is_given_away")
        return self._append(control_pb2.LogEntry(rule_file=file), now_s)

    def read(self, ticket: int, now_s: float) -> bool:
        """Asks for a confirmation that this replica still leads.

        Args:
            ticket: Comes back in ``confirmed_reads``.
            now_s: Current time.

        Returns:
            False where this replica does not lead, or not long enough to know what is committed.
        """
        if self.role is not Role.LEADER or self._log.term_at(self.commit_index) != self.term:
            return False
        self._broadcast(now_s)
        self._reads.append(Read(ticket=ticket, round=self._round, index=self.commit_index))
        self._confirm_reads()
        return True

    def _confirm_reads(self) -> None:
        waiting = []
        for read in self._reads:
            answered = {m for m, p in self._progress.items() if p.round >= read.round}
            if self._has_majority(answered | {self.member}):
                self.confirmed_reads.append(read.ticket)
            else:
                waiting.append(read)
        self._reads = waiting

    @_handles("append_reply")
    def _on_append_reply(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        progress = self._progress.get(message.sender)
        if self.role is not Role.LEADER or progress is None or message.term != self.term:
            return
        reply = message.append_reply
        progress.answered_s = now_s
        progress.round = max(progress.round, reply.round)
        if reply.is_success:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._advance_commit(now_s)
            if progress.next_index <= self._log.last_index:
                self._replicate(message.sender, now_s)
        else:
            progress.next_index = max(1, min(progress.next_index - 1, reply.match_index + 1))
            self._replicate(message.sender, now_s)
        self._confirm_reads()
        self._finish_transfer(now_s)

    def _advance_commit(self, now_s: float) -> None:
        held = {m: p.match_index for m, p in self._progress.items()}
        held[self.member] = self._log.last_index
        indexes = sorted((held.get(voter, 0) for voter in self._set.voters), reverse=True)
        index = indexes[len(indexes) // 2]
        if index > self.commit_index and self._log.term_at(index) == self.term:
            self._commit(index)
            self._broadcast(now_s)
            if not self.is_voter and self._set_index <= self.commit_index:
                self._become_follower(now_s)

    def _commit(self, index: int) -> None:
        if index < self.commit_index:
            return
        self.commit_index = index
        self.committed_entries.extend(self._log.between(self._applied_index + 1, index))
        self._applied_index = index

    # Repair of the replica set

    def _advance_repair(self, now_s: float) -> None:
        """Proposes the next change of the set, once the one before is committed."""
        if self._set_index > self.commit_index:
            return
        if self._log.term_at(self.commit_index) != self.term:
            return
        current = voters.Members(voters=tuple(self._set.voters), learners=tuple(self._set.learners))
        standings = {
            member: self._standing(progress, now_s) for member, progress in self._progress.items()
        }
        changed = self._repair.next_change(current, standings, self.discovery.applicants(now_s))
        if changed is not None:
            replica_set = control_pb2.ReplicaSet(voters=changed.voters, learners=changed.learners)
            self._append(control_pb2.LogEntry(replica_set=replica_set), now_s)

    def _standing(self, progress: Progress, now_s: float) -> voters.Standing:
        silent_s = now_s - progress.answered_s
        return voters.Standing(
            silent_s=silent_s,
            is_live=silent_s < ELECTION_MOST_S,
            is_caught_up=progress.match_index >= self.commit_index,
        )

    # Following

    def receive(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        """Takes a message from another replica.

        Args:
            message: The message.
            now_s: Current time.
        """
        name, _, identity = message.recipient.partition("/")
        if name != self._name or (identity and message.recipient != self.member):
            return
        field = message.WhichOneof("body")
        if field is None:
            return
        if field in ("join_request", "join_reply"):
            _HANDLERS[field](self, message, now_s)
            return
        if field != "vote_request" and message.term > self.term:
            self._enter_term(message.term, now_s)
        _HANDLERS[field](self, message, now_s)

    def _follow(self, message: control_pb2.ReplicaMessage, now_s: float) -> bool:
        """Accepts the sender as the leader of the current term."""
        if message.term < self.term:
            self._send(message.sender, append_reply=control_pb2.AppendReply())
            return False
        self.leader = name_of(message.sender)
        self._heard_leader_s = now_s
        self._has_heard_leader = True
        if self.role in (Role.CANDIDATE, Role.OUTSIDER):
            self._become_follower(now_s)
        self._reset_deadline(now_s)
        return True

    @_handles("append_request")
    def _on_append_request(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        if not self._follow(message, now_s):
            return
        request = message.append_request
        if request.previous_index < self._log.snapshot.last_index:
            self._reply_append(message.sender, True, self.commit_index, request.round)
            return
        if self._log.term_at(request.previous_index) != request.previous_term:
            hint = min(request.previous_index - 1, self._log.last_index)
            self._reply_append(message.sender, False, hint, request.round)
            return
        self._store(list(request.entries))
        match_index = request.previous_index + len(request.entries)
        self._commit(max(self.commit_index, min(request.commit_index, match_index)))
        self._reply_append(message.sender, True, match_index, request.round)
        self._refresh_role(now_s)

    def _store(self, entries: list[control_pb2.LogEntry]) -> None:
        new = [e for e in entries if self._log.term_at(e.index) != e.term]
        if not new:
            return
        if new[0].index <= self._log.last_index:
            self._check_uncommitted(new[0].index)
            self._log.truncate_from(new[0].index)
        self._log.append([e for e in entries if e.index >= new[0].index])
        self._find_set()

    def _check_uncommitted(self, index: int) -> None:
        if index <= self.commit_index:
            reason = f"committed entry {index} would be replaced"
            raise errors.InvariantError(step="store entries", peer=self.member, reason=reason)

    def _refresh_role(self, now_s: float) -> None:
        is_right = {
            Role.FOLLOWER: self.is_voter,
            Role.LEARNER: self.member in self._set.learners,
        }.get(self.role, True)
        if not is_right or (self.role is Role.LEARNER and self.is_voter):
            self._become_follower(now_s)

    def _reply_append(self, leader: str, is_success: bool, index: int, round_: int) -> None:
        reply = control_pb2.AppendReply(is_success=is_success, match_index=index, round=round_)
        self._send(leader, append_reply=reply)

    @_handles("install_snapshot")
    def _on_install_snapshot(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        snapshot = message.install_snapshot.snapshot
        if message.install_snapshot.is_founding:
            if self._log.is_empty and self.member in snapshot.replica_set.voters:
                self._adopt_snapshot(snapshot)
                self._become_follower(now_s)
            return
        if not self._follow(message, now_s):
            return
        if snapshot.last_index > self.commit_index:
            self._adopt_snapshot(snapshot)
        round_ = message.install_snapshot.round
        self._reply_append(message.sender, True, self.commit_index, round_)
        self._refresh_role(now_s)

    # Planned stop

    def transfer_leadership(self, now_s: float) -> bool:
        """Starts to give leadership away before a planned stop.

        Args:
            now_s: Current time.

        Returns:
            Whether this replica leads and has someone to give it to.
        """
        others = [v for v in self._set.voters if v != self.member and v in self._progress]
        if self.role is not Role.LEADER or not others:
            return False
        self._transfer_to = max(others, key=lambda v: self._progress[v].match_index)
        self._finish_transfer(now_s)
        return True

    def _finish_transfer(self, now_s: float) -> None:
        if not self._transfer_to:
            return
        if self._progress[self._transfer_to].match_index == self._log.last_index:
            self._send(self._transfer_to, timeout_now=control_pb2.TimeoutNow())

    @_handles("timeout_now")
    def _on_timeout_now(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        if self.is_voter and message.term == self.term and self.role is not Role.LEADER:
            self._stand(now_s, is_transfer=True)

    # Compaction

    def compact(self, save: Callable[[control_pb2.Snapshot], None]) -> bool:
        """Replaces applied entries by a snapshot once there are many.

        Args:
            save: Writes the state machine's state into the snapshot.

        Returns:
            Whether a snapshot was made.
        """
        applied_count = self._applied_index - self._log.snapshot.last_index
        is_large = self._log.size_bytes >= SNAPSHOT_AFTER_BYTES and applied_count > 0
        if applied_count < SNAPSHOT_AFTER_COUNT and not is_large:
            return False
        snapshot = control_pb2.Snapshot(
            last_index=self._applied_index,
            last_term=self._log.term_at(self._applied_index),
            replica_set=self._set_at(self._applied_index),
        )
        save(snapshot)
        self._log.install(snapshot)
        return True

    def _set_at(self, index: int) -> control_pb2.ReplicaSet:
        found = self._log.snapshot.replica_set
        for entry in self._log.between(self._log.snapshot.last_index + 1, index):
            if entry.WhichOneof("command") == "replica_set":
                found = entry.replica_set
        return found
