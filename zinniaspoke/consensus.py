"""The Raft consensus algorithm between control replicas, without sockets or clocks.

See Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014. Pre-vote,
check-quorum, learners, single-server membership changes and leadership transfer follow Ongaro's
dissertation.
"""

import enum
import random
from collections.abc import Callable, Iterable

import attrs

from zinniaspoke import errors, joining, log, voters
from zinniaspoke.proto import control_pb2

# Version of the format of messages and entries. Version 1 knows zone orders; a replica of version 0
# skips them and leaves them out of its snapshots.
VERSION = 1
HEARTBEAT_S = 0.1
ELECTION_TIMEOUT_MIN_S = 0.5
ELECTION_TIMEOUT_MAX_S = 1.0
# A replica that has had no leader since it started uses a shorter election timeout. The pre-vote
# keeps it from deposing a leader that it has not heard from yet.
FIRST_ELECTION_TIMEOUT_MIN_S = 0.15
FIRST_ELECTION_TIMEOUT_MAX_S = 0.45
# A member that has had no leader for this long sends join requests, because it may have been
# removed from the replica set while it was unreachable.
REJOIN_AFTER_S = 2.0
MAX_ENTRIES_PER_APPEND = 64
SNAPSHOT_AFTER_ENTRY_COUNT = 256
# The log is kept in memory and rule files are large, so it is compacted at this size even if it
# has few entries.
SNAPSHOT_AFTER_BYTES = 512 * 1024

# Besides votes, the messages that mean something only in the term in which they were sent. They may
# arrive in a later one, since a connection holds them while its network path is cut.
TERM_BOUND_FIELDS = frozenset(("append_reply", "timeout_now"))

_MESSAGE_HANDLERS: dict[str, Callable] = {}


def _handler_for(field: str) -> Callable:
    """Registers a method as the handler of messages whose ``body`` is this field."""

    def register(method: Callable) -> Callable:
        _MESSAGE_HANDLERS[field] = method
        return method

    return register


class Role(enum.Enum):
    """Role of a replica; the values appear in logs and in ``StatusReply.role``.

    An outsider is not a member of the replica set.
    """

    OUTSIDER = "outsider"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define(kw_only=True, slots=True)
class Progress:
    """Replication progress of another member, as the leader knows it.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Last index known to be replicated to the member.
        round: Newest heartbeat round that the member has acknowledged.
        last_reply_s: Time of its last reply.
        last_sent_s: Time of the last message to it.
    """

    next_index: int
    match_index: int = 0
    round: int = 0
    last_reply_s: float = -1e9
    last_sent_s: float = -1e9


@attrs.frozen(kw_only=True)
class OutdatedMessage:
    """A message that was dropped, as it belongs to an earlier term.

    Attributes:
        sender: The sender as NAME/IDENTITY.
        field: What kind of message it is.
        term: The term in which it was sent.
        own_term: The recipient's term.
    """

    sender: str
    field: str
    term: int
    own_term: int


@attrs.frozen(kw_only=True)
class PendingRead:
    """A linearizable read that waits for a majority to confirm the leader.

    Attributes:
        ticket: Number by which the requester recognises the read.
        round: Heartbeat round that a majority has to acknowledge.
        index: Commit index at the time of the read; it has to be applied first.
    """

    ticket: int
    round: int
    index: int


name_of = voters.name_of


class Replica:
    """A Raft replica.

    Attributes:
        member: This replica as NAME/IDENTITY; the identity is generated for an empty data folder.
        discovery: Peers to contact before this replica is a member, and pending join requests.
        role: Current role.
        leader: Name of the leader, or empty if it is not known.
        commit_index: Index of the last entry known to be committed.
        messages: Outgoing messages; the caller sends and clears them.
        committed_entries: Committed entries; the state machine applies and clears them.
        confirmed_reads: Tickets of confirmed reads; the caller clears them.
        installed_snapshot: Snapshot that the state machine has to load, or None.
        min_version: Replicas of a lower version are not admitted.
        refused_joins: Version of each replica that was not admitted; the caller clears them.
        outdated_messages: Dropped messages of earlier terms; the caller clears them.
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
        """Recovers the replica's state from its log.

        Args:
            name: This replica's name.
            initial_voters: Names of the voters of the initial replica set.
            entries: The persistent log.
            rng: Seeded random source for election timeouts.
            now_s: Current time.
            voter_count: Wanted number of voters; 0 for the number of initial voters.
            accepts_new_members: Whether replicas other than the initial voters may join.
            may_bootstrap: Whether this process may create the initial replica set.
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
        self.min_version = 0
        self.refused_joins: dict[str, int] = {}
        self.outdated_messages: list[OutdatedMessage] = []
        # By sender, the version of its last message; a leader's are those of its own term.
        self._versions: dict[str, int] = {}
        self._applied_index = self.commit_index
        self._votes: set[str] = set()
        self._is_pre_vote = False
        self._progress: dict[str, Progress] = {}
        self._round = 0
        self._pending_reads: list[PendingRead] = []
        self._last_leader_contact_s = -1e9
        self._has_seen_leader = False
        self._election_deadline_s = 0.0
        self._transferee = ""
        self._replica_set = control_pb2.ReplicaSet()
        self._replica_set_index = 0
        self._refresh_replica_set()
        self._planner = voters.ReconfigurationPlanner(
            leader=self.member, voter_count=voter_count or len(initial_voters)
        )
        self._become_follower(now_s)

    # Replica sets

    def _refresh_replica_set(self) -> None:
        """Uses the newest replica set in the log, committed or not, as Raft requires."""
        self._replica_set = self._log.snapshot.replica_set
        self._replica_set_index = self._log.snapshot.last_index
        for entry in self._log.entries_between(self._replica_set_index + 1, self._log.last_index):
            if entry.WhichOneof("command") == "replica_set":
                self._replica_set = entry.replica_set
                self._replica_set_index = entry.index

    @property
    def replica_set(self) -> control_pb2.ReplicaSet:
        """The newest replica set in the log, committed or not."""
        return self._replica_set

    @property
    def term(self) -> int:
        """The current term."""
        return self._log.state.term

    @property
    def last_index(self) -> int:
        """Index of the last log entry, committed or not."""
        return self._log.last_index

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter in the newest replica set."""
        return self.member in self._replica_set.voters

    def has_leader(self, now_s: float) -> bool:
        """Whether there has been a leader within the last election timeout.

        A leader that a majority of the voters no longer replies to does not count.

        Args:
            now_s: Current time.
        """
        if self.role is Role.LEADER:
            return self._has_quorum_contact(now_s)
        return now_s - self._last_leader_contact_s < ELECTION_TIMEOUT_MAX_S

    def _has_quorum_contact(self, now_s: float) -> bool:
        reachable = {
            m for m, p in self._progress.items() if now_s - p.last_reply_s < ELECTION_TIMEOUT_MAX_S
        }
        return self._has_majority(reachable | {self.member})

    def member_names(self) -> set[str]:
        """Returns the names of all members, voters and learners, of the newest replica set."""
        return {
            name_of(member) for member in (*self._replica_set.voters, *self._replica_set.learners)
        }

    def _other_members(self) -> list[str]:
        members = [*self._replica_set.voters, *self._replica_set.learners]
        return [member for member in members if member != self.member]

    def _has_majority(self, members: set[str]) -> bool:
        all_voters = self._replica_set.voters
        return sum(voter in members for voter in all_voters) * 2 > len(all_voters)

    # Timers

    def tick(self, now_s: float) -> None:
        """Runs the timers: elections, heartbeats, join requests and membership changes.

        Args:
            now_s: Current time.
        """
        if self._should_request_join(now_s):
            self._request_join(now_s)
        if self.role is Role.LEADER:
            self._tick_leader(now_s)
        elif self.is_voter and now_s >= self._election_deadline_s:
            self._start_pre_vote(now_s)

    def _reset_election_deadline(self, now_s: float) -> None:
        min_s, max_s = ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S
        if not self._has_seen_leader:
            min_s, max_s = FIRST_ELECTION_TIMEOUT_MIN_S, FIRST_ELECTION_TIMEOUT_MAX_S
        self._election_deadline_s = now_s + self._rng.uniform(min_s, max_s)

    def _send(self, recipient: str, **body: object) -> None:
        self.messages.append(
            control_pb2.ReplicaMessage(
                sender=self.member,
                recipient=recipient,
                term=self.term,
                version=VERSION,
                **body,
            )
        )

    # Bootstrap and join requests

    def _should_request_join(self, now_s: float) -> bool:
        """Whether this replica is not a member, or may have been removed while unreachable."""
        if self.member not in (*self._replica_set.voters, *self._replica_set.learners):
            return True
        has_leader = (
            self.role is Role.LEADER or now_s - self._last_leader_contact_s < REJOIN_AFTER_S
        )
        return self.discovery.accepts_new_members and not has_leader

    def _request_join(self, now_s: float) -> None:
        for name in self.discovery.peers_to_ask(self._other_members(), now_s):
            self._send(name, join_request=control_pb2.JoinRequest())
        self._bootstrap_if_ready()

    @_handler_for("join_request")
    def _on_join_request(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        known = (*self._replica_set.voters, *self._replica_set.learners)
        if message.sender in known:
            self._send_initial_snapshot(message.sender)
        if self.role is Role.LEADER and message.sender not in known:
            if message.version >= self.min_version:
                self.discovery.record_join_request(message.sender, now_s)
            else:
                self.refused_joins[message.sender] = message.version
        reply = control_pb2.JoinReply(
            is_empty=self._log.is_empty, member_names=sorted({name_of(m) for m in known})
        )
        self._send(message.sender, join_reply=reply)

    def _send_initial_snapshot(self, member: str) -> None:
        """Sends the initial replica set to one of its members.

        The set lists members by identity. A new identity is generated for an empty data folder, so
        a replica that lost its disk is not listed and cannot bootstrap a second time.
        """
        # Only the snapshot that creates the initial replica set has index 1 and term 0.
        if self._log.snapshot.last_index == 1 and self._log.snapshot.last_term == 0:
            self._send(
                member,
                install_snapshot=control_pb2.InstallSnapshot(
                    snapshot=self._log.snapshot, is_founding=True
                ),
            )

    @_handler_for("join_reply")
    def _on_join_reply(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        reply = message.join_reply
        self.discovery.record_reply(message.sender, reply.is_empty, reply.member_names)
        self._bootstrap_if_ready()

    def _bootstrap_if_ready(self) -> None:
        """Creates the initial replica set, if this replica may and all initial voters are empty."""
        others = self.discovery.other_initial_voters() if self._log.is_empty else None
        if others is None:
            return
        replica_set = control_pb2.ReplicaSet(
            voters=sorted([self.member, *others]), version=self._lowest_version(others, VERSION)
        )
        snapshot = control_pb2.Snapshot(last_index=1, replica_set=replica_set)
        self._install_snapshot(snapshot)
        for member in self._other_members():
            self._send_initial_snapshot(member)

    def _lowest_version(self, members: Iterable[str], unheard: int) -> int:
        """Returns the lowest version of some members, with a value for those not heard yet."""
        return min([VERSION, *(self._versions.get(member, unheard) for member in members)])

    def outdated_member(self, version: int) -> str | None:
        """Returns a member that may not know a version of the format, or None.

        A member that this leader has not heard in its term is taken to have the version that the
        replica set names: it may be off for long.

        Args:
            version: The version.
        """
        unheard = self._replica_set.version
        for member in self._other_members():
            if self._versions.get(member, unheard) < version:
                return member
        return None

    def _install_snapshot(self, snapshot: control_pb2.Snapshot) -> None:
        self._log.install_snapshot(snapshot)
        self.installed_snapshot = snapshot
        self.commit_index = max(self.commit_index, snapshot.last_index)
        self._applied_index = snapshot.last_index
        self.committed_entries = [
            e for e in self.committed_entries if e.index > snapshot.last_index
        ]
        self._refresh_replica_set()

    # Elections

    def _become_follower(self, now_s: float) -> None:
        if self.is_voter:
            self.role = Role.FOLLOWER
        elif self.member in self._replica_set.learners:
            self.role = Role.LEARNER
        else:
            self.role = Role.OUTSIDER
        self._votes = set()
        self._pending_reads = []
        self._transferee = ""
        self._reset_election_deadline(now_s)

    def _enter_term(self, term: int, now_s: float) -> None:
        self._log.set_state(term, "")
        self.leader = ""
        self._become_follower(now_s)

    def _start_pre_vote(self, now_s: float) -> None:
        """Starts a pre-vote, which finds out whether an election can be won without a new term."""
        self.role = Role.CANDIDATE
        self.leader = ""
        self._is_pre_vote = True
        self._request_votes(now_s, is_transfer=False)

    def _start_election(self, now_s: float, is_transfer: bool) -> None:
        """Becomes a candidate in a new term and votes for itself."""
        self._log.set_state(self.term + 1, self.member)
        self.role = Role.CANDIDATE
        self.leader = ""
        self._is_pre_vote = False
        self._request_votes(now_s, is_transfer)

    def _request_votes(self, now_s: float, is_transfer: bool) -> None:
        self._reset_election_deadline(now_s)
        self._votes = {self.member}
        request = control_pb2.VoteRequest(
            last_index=self._log.last_index,
            last_term=self._log.last_term,
            is_probe=self._is_pre_vote,
            is_transfer=is_transfer,
        )
        for voter in self._replica_set.voters:
            if voter != self.member:
                self._send(voter, vote_request=request)
        self._count_votes(now_s)

    @_handler_for("vote_request")
    def _on_vote_request(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        request = message.vote_request
        has_recent_leader = (
            now_s - self._last_leader_contact_s < ELECTION_TIMEOUT_MIN_S or self.role is Role.LEADER
        )
        if has_recent_leader and not request.is_transfer:
            return
        # A learner may vote: the candidate's log may already hold the entry that makes it a voter,
        # while its own log does not.
        if not request.is_probe and message.term > self.term:
            self._enter_term(message.term, now_s)
        is_granted = self._can_grant_vote(message)
        if is_granted and not request.is_probe:
            self._log.set_state(self.term, message.sender)
            self._reset_election_deadline(now_s)
        reply = control_pb2.VoteReply(is_granted=is_granted, is_probe=request.is_probe)
        self._send(message.sender, vote_reply=reply)

    def _can_grant_vote(self, message: control_pb2.ReplicaMessage) -> bool:
        request = message.vote_request
        own = (self._log.last_term, self._log.last_index)
        if (request.last_term, request.last_index) < own:
            return False
        if request.is_probe:
            return message.term >= self.term
        voted_for = self._log.state.voted_for
        return message.term == self.term and voted_for in ("", message.sender)

    @_handler_for("vote_reply")
    def _on_vote_reply(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        reply = message.vote_reply
        if self.role is not Role.CANDIDATE or reply.is_probe != self._is_pre_vote:
            return
        if reply.is_granted:
            self._votes.add(message.sender)
            self._count_votes(now_s)

    def _count_votes(self, now_s: float) -> None:
        if not self._has_majority(self._votes):
            return
        if self._is_pre_vote:
            self._start_election(now_s, is_transfer=False)
        else:
            self._become_leader(now_s)

    def _become_leader(self, now_s: float) -> None:
        self.role = Role.LEADER
        self._has_seen_leader = True
        self.leader = self._name
        self._progress = {}
        self._versions = {}
        self._pending_reads = []
        self._transferee = ""
        self._round = 0
        for member in self._other_members():
            self._track_member(member, now_s)
        # A leader only commits entries of its own term by counting replicas. Committing this one
        # commits those of earlier terms before it.
        self._append(control_pb2.LogEntry(is_barrier=True), now_s)

    def _track_member(self, member: str, now_s: float) -> Progress:
        progress = Progress(next_index=self._log.last_index + 1, last_reply_s=now_s)
        self._progress[member] = progress
        return progress

    # Leader

    def _tick_leader(self, now_s: float) -> None:
        # Check-quorum: a leader that a majority no longer replies to steps down.
        if not self._has_quorum_contact(now_s):
            self.leader = ""
            self._become_follower(now_s)
            return
        if any(now_s - p.last_sent_s >= HEARTBEAT_S for p in self._progress.values()):
            self._broadcast(now_s)
        self._advance_reconfiguration(now_s)

    def _broadcast(self, now_s: float) -> None:
        self._round += 1
        for member in self._other_members():
            self._replicate(member, now_s)

    def _replicate(self, member: str, now_s: float) -> None:
        progress = self._progress.get(member) or self._track_member(member, now_s)
        progress.last_sent_s = now_s
        previous_index = progress.next_index - 1
        previous_term = self._log.term_at(previous_index)
        if previous_term is None:
            install = control_pb2.InstallSnapshot(snapshot=self._log.snapshot, round=self._round)
            self._send(member, install_snapshot=install)
            return
        last_index = min(self._log.last_index, previous_index + MAX_ENTRIES_PER_APPEND)
        request = control_pb2.AppendRequest(
            previous_index=previous_index,
            previous_term=previous_term,
            commit_index=self.commit_index,
            entries=self._log.entries_between(progress.next_index, last_index),
            round=self._round,
        )
        self._send(member, append_request=request)

    def _append(self, entry: control_pb2.LogEntry, now_s: float) -> int:
        entry.index = self._log.last_index + 1
        entry.term = self.term
        try:
            self._log.append([entry])
        except errors.StorageError:
            # A leader that cannot write its log steps down, so that a replica with a working disk
            # can take over.
            self.leader = ""
            self._become_follower(now_s)
            raise
        self._refresh_replica_set()
        self._broadcast(now_s)
        self._advance_commit(now_s)
        return entry.index

    def propose(
        self, command: control_pb2.RuleFile | control_pb2.ZoneOrder, now_s: float
    ) -> int | errors.Nothing:
        """Appends a rule file or a zone order to the log, to be replicated and committed.

        Args:
            command: The rule file or order.
            now_s: Current time.

        Returns:
            The index of the new entry, or the reason why nothing was appended.
        """
        if self.role is not Role.LEADER:
            return errors.Nothing(reason="not_leader")
        if self._transferee:
            # A leadership transfer is in progress. Operators see the reason in ``SubmitReply``.
            return errors.Nothing(reason="leadership_is_given_away")
        if isinstance(command, control_pb2.ZoneOrder):
            return self._append(control_pb2.LogEntry(zone_order=command), now_s)
        return self._append(control_pb2.LogEntry(rule_file=command), now_s)

    def read(self, ticket: int, now_s: float) -> bool:
        """Starts a linearizable read: a heartbeat round that confirms this replica as the leader.

        Args:
            ticket: Number that is added to ``confirmed_reads`` on success.
            now_s: Current time.

        Returns:
            False if this replica is not the leader, or has not committed an entry of its term yet.
            Until then its commit index may be lower than that of an earlier leader.
        """
        if self.role is not Role.LEADER or self._log.term_at(self.commit_index) != self.term:
            return False
        self._broadcast(now_s)
        self._pending_reads.append(
            PendingRead(ticket=ticket, round=self._round, index=self.commit_index)
        )
        self._confirm_reads()
        return True

    def _confirm_reads(self) -> None:
        unconfirmed = []
        for read in self._pending_reads:
            answered = {m for m, p in self._progress.items() if p.round >= read.round}
            if self._has_majority(answered | {self.member}):
                self.confirmed_reads.append(read.ticket)
            else:
                unconfirmed.append(read)
        self._pending_reads = unconfirmed

    @_handler_for("append_reply")
    def _on_append_reply(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        progress = self._progress.get(message.sender)
        if self.role is not Role.LEADER or progress is None:
            return
        reply = message.append_reply
        progress.last_reply_s = now_s
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
        self._advance_transfer(now_s)

    def _advance_commit(self, now_s: float) -> None:
        match_indexes = {m: p.match_index for m, p in self._progress.items()}
        match_indexes[self.member] = self._log.last_index
        indexes = sorted(
            (match_indexes.get(voter, 0) for voter in self._replica_set.voters), reverse=True
        )
        index = indexes[len(indexes) // 2]
        if index > self.commit_index and self._log.term_at(index) == self.term:
            self._commit(index)
            self._broadcast(now_s)
            if not self.is_voter and self._replica_set_index <= self.commit_index:
                self._become_follower(now_s)

    def _commit(self, index: int) -> None:
        if index < self.commit_index:
            return
        self.commit_index = index
        self.committed_entries.extend(self._log.entries_between(self._applied_index + 1, index))
        self._applied_index = index

    # Membership changes

    def _advance_reconfiguration(self, now_s: float) -> None:
        """Proposes the next membership change, if the previous one is committed."""
        if self._replica_set_index > self.commit_index:
            return
        if self._log.term_at(self.commit_index) != self.term:
            return
        current = voters.ReplicaSet(
            voters=tuple(self._replica_set.voters), learners=tuple(self._replica_set.learners)
        )
        health = {
            member: self._health(progress, now_s) for member, progress in self._progress.items()
        }
        changed = self._planner.next_change(current, health, self.discovery.pending_joins(now_s))
        version = self._version_of(changed or current)
        if changed is not None or version != self._replica_set.version:
            members = changed or current
            replica_set = control_pb2.ReplicaSet(
                voters=members.voters, learners=members.learners, version=version
            )
            self._append(control_pb2.LogEntry(replica_set=replica_set), now_s)

    def _version_of(self, members: voters.ReplicaSet) -> int:
        others = {*members.voters, *members.learners} - {self.member}
        return self._lowest_version(others, self._replica_set.version)

    def _health(self, progress: Progress, now_s: float) -> voters.MemberHealth:
        silent_s = now_s - progress.last_reply_s
        return voters.MemberHealth(
            silent_s=silent_s,
            is_live=silent_s < ELECTION_TIMEOUT_MAX_S,
            is_caught_up=progress.match_index >= self.commit_index,
        )

    # Follower

    def receive(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        """Handles a message from another replica.

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
        is_join = field in ("join_request", "join_reply")
        if not is_join and field != "vote_request" and message.term > self.term:
            self._enter_term(message.term, now_s)
        if message.term < self.term and self._is_term_bound(field, message):
            self.outdated_messages.append(
                OutdatedMessage(
                    sender=message.sender, field=field, term=message.term, own_term=self.term
                )
            )
            return
        self._versions[message.sender] = message.version
        _MESSAGE_HANDLERS[field](self, message, now_s)

    @staticmethod
    def _is_term_bound(field: str, message: control_pb2.ReplicaMessage) -> bool:
        """Whether a message means something only in the term in which it was sent.

        A pre-vote may be granted by a replica of a lower term; it is no vote, as voters decide anew
        in the election that follows. Appends and snapshots of an earlier term are answered, so that
        their sender learns of the term.
        """
        if field == "vote_reply":
            return not message.vote_reply.is_probe
        return field in TERM_BOUND_FIELDS

    def _accept_leader(self, message: control_pb2.ReplicaMessage, now_s: float) -> bool:
        """Accepts the sender as leader of the current term; rejects one of an older term."""
        if message.term < self.term:
            self._send(message.sender, append_reply=control_pb2.AppendReply())
            return False
        self.leader = name_of(message.sender)
        self._last_leader_contact_s = now_s
        self._has_seen_leader = True
        if self.role in (Role.CANDIDATE, Role.OUTSIDER):
            self._become_follower(now_s)
        self._reset_election_deadline(now_s)
        return True

    @_handler_for("append_request")
    def _on_append_request(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        if not self._accept_leader(message, now_s):
            return
        request = message.append_request
        if request.previous_index < self._log.snapshot.last_index:
            self._reply_append(message.sender, True, self.commit_index, request.round)
            return
        if self._log.term_at(request.previous_index) != request.previous_term:
            hint = min(request.previous_index - 1, self._log.last_index)
            self._reply_append(message.sender, False, hint, request.round)
            return
        self._store_entries(list(request.entries))
        match_index = request.previous_index + len(request.entries)
        self._commit(max(self.commit_index, min(request.commit_index, match_index)))
        self._reply_append(message.sender, True, match_index, request.round)
        self._refresh_role(now_s)

    def _store_entries(self, entries: list[control_pb2.LogEntry]) -> None:
        new = [e for e in entries if self._log.term_at(e.index) != e.term]
        if not new:
            return
        if new[0].index <= self._log.last_index:
            self._check_uncommitted(new[0].index)
            self._log.truncate_from(new[0].index)
        self._log.append([e for e in entries if e.index >= new[0].index])
        self._refresh_replica_set()

    def _check_uncommitted(self, index: int) -> None:
        if index <= self.commit_index:
            reason = f"committed entry {index} would be overwritten"
            raise errors.InvariantError(step="store entries", peer=self.member, reason=reason)

    def _refresh_role(self, now_s: float) -> None:
        is_role_current = {
            Role.FOLLOWER: self.is_voter,
            Role.LEARNER: self.member in self._replica_set.learners,
        }.get(self.role, True)
        if not is_role_current or (self.role is Role.LEARNER and self.is_voter):
            self._become_follower(now_s)

    def _reply_append(self, leader: str, is_success: bool, index: int, round_: int) -> None:
        reply = control_pb2.AppendReply(is_success=is_success, match_index=index, round=round_)
        self._send(leader, append_reply=reply)

    @_handler_for("install_snapshot")
    def _on_install_snapshot(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        snapshot = message.install_snapshot.snapshot
        if message.install_snapshot.is_founding:
            if self._log.is_empty and self.member in snapshot.replica_set.voters:
                self._install_snapshot(snapshot)
                self._become_follower(now_s)
            return
        if not self._accept_leader(message, now_s):
            return
        if snapshot.last_index > self.commit_index:
            self._install_snapshot(snapshot)
        round_ = message.install_snapshot.round
        self._reply_append(message.sender, True, self.commit_index, round_)
        self._refresh_role(now_s)

    # Leadership transfer

    def transfer_leadership(self, now_s: float) -> bool:
        """Starts a leadership transfer to the most up-to-date voter, before a planned stop.

        Args:
            now_s: Current time.

        Returns:
            Whether this replica is the leader and there is another voter.
        """
        others = [v for v in self._replica_set.voters if v != self.member and v in self._progress]
        if self.role is not Role.LEADER or not others:
            return False
        self._transferee = max(others, key=lambda v: self._progress[v].match_index)
        self._advance_transfer(now_s)
        return True

    def _advance_transfer(self, now_s: float) -> None:
        if not self._transferee:
            return
        if self._progress[self._transferee].match_index == self._log.last_index:
            self._send(self._transferee, timeout_now=control_pb2.TimeoutNow())

    @_handler_for("timeout_now")
    def _on_timeout_now(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        if self.is_voter and self.role is not Role.LEADER:
            self._start_election(now_s, is_transfer=True)

    # Compaction

    def compact(self, save: Callable[[control_pb2.Snapshot], None]) -> bool:
        """Replaces applied entries by a snapshot if they are many or large.

        Args:
            save: Writes the state machine's state into the snapshot.

        Returns:
            Whether a snapshot was taken.
        """
        applied_count = self._applied_index - self._log.snapshot.last_index
        is_large = self._log.size_bytes >= SNAPSHOT_AFTER_BYTES and applied_count > 0
        if applied_count < SNAPSHOT_AFTER_ENTRY_COUNT and not is_large:
            return False
        snapshot = control_pb2.Snapshot(
            last_index=self._applied_index,
            last_term=self._log.term_at(self._applied_index),
            replica_set=self._replica_set_at(self._applied_index),
        )
        save(snapshot)
        self._log.install_snapshot(snapshot)
        return True

    def _replica_set_at(self, index: int) -> control_pb2.ReplicaSet:
        replica_set = self._log.snapshot.replica_set
        for entry in self._log.entries_between(self._log.snapshot.last_index + 1, index):
            if entry.WhichOneof("command") == "replica_set":
                replica_set = entry.replica_set
        return replica_set
