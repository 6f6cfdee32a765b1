"""Core of a control VM: takes rule files and zone orders, returns answers and Raft messages."""

import random

import attrs

from zinniaspoke import consensus, errors, evacuations, events, log, rules, submissions
from zinniaspoke.proto import control_pb2

SUBMIT_TIMEOUT_S = 5.0
# The version of the replicas' format that knows zone orders.
ORDERS_VERSION = 1
Command = control_pb2.RuleFile | control_pb2.ZoneOrder


@attrs.frozen(kw_only=True)
class Answer:
    """The reply to one request.

    Attributes:
        ticket: The number that ``submit`` or ``read`` returned for the request.
        reply: The reply to the operator.
    """

    ticket: int
    reply: control_pb2.SubmitReply


@attrs.frozen(kw_only=True)
class Notice:
    """An event to log.

    Attributes:
        event: The numbered event.
        peer: The replica, target, rule file or VM that it concerns.
        detail: Description of what happened.
    """

    event: events.Event
    peer: str
    detail: str


@attrs.frozen(kw_only=True)
class View:
    """A replica's state after a step, for code that must not wait for the replica's disk.

    Attributes:
        taken_s: Time of the step.
        role: The replica's role.
        leader: Name of the leader, or empty if it is not known.
        term: Its term.
        commit_index: Index of the last entry known to be committed.
        is_voter: Whether it is a voter.
        has_leader: Whether it led with a majority, or had heard from such a leader.
        rules: The newest accepted rule file.
        evacuated: The evacuated zones.
        places_revision: Number of orders that changed them.
        voters: The voters, as NAME/IDENTITY.
        learners: The learners, as NAME/IDENTITY.
    """

    taken_s: float = -1e9
    role: consensus.Role = consensus.Role.OUTSIDER
    leader: str = ""
    term: int = 0
    commit_index: int = 0
    is_voter: bool = False
    has_leader: bool = False
    rules: control_pb2.RuleFile = attrs.field(factory=control_pb2.RuleFile)
    evacuated: frozenset[str] = frozenset()
    places_revision: int = 0
    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    def is_current(self, now_s: float) -> bool:
        """Whether the rules can be vouched for: a replica that stands still hears no leader.

        Args:
            now_s: Current time.
        """
        return self.has_leader and now_s - self.taken_s < consensus.ELECTION_TIMEOUT_MAX_S

    def leads(self, now_s: float, age_limit_s: float) -> bool:
        """Whether the replica leads with a majority, as known not long ago.

        Args:
            now_s: Current time.
            age_limit_s: Longest time since the replica's last step.
        """
        is_leader = self.role is consensus.Role.LEADER and self.has_leader
        return is_leader and now_s - self.taken_s < age_limit_s

    def member_names(self) -> set[str]:
        """Returns the names of all members."""
        return {consensus.name_of(member) for member in (*self.voters, *self.learners)}


@attrs.define(kw_only=True, slots=True)
class _Request:
    """A pending submission, order or read.

    Attributes:
        ticket: Number that identifies the request.
        command: The submitted rule file or the order; None for a read.
        deadline_s: Time at which a pending request is answered with "unknown".
        index: Log index at which the command was proposed; 0 before that.
        term: Term in which it was proposed.
        is_confirming: Whether a read confirmation by a majority is pending.
    """

    ticket: int
    command: Command | None
    deadline_s: float
    index: int = 0
    term: int = 0
    is_confirming: bool = False


class Control:
    """Replicated state machine and pending requests of one control VM; does no I/O."""

    def __init__(
        self,
        *,
        name: str,
        initial_voters: tuple[str, ...],
        entries: log.Log,
        rng: random.Random,
        now_s: float,
        numbering: str = submissions.DEFAULT_NUMBERING,
        **membership: object,
    ) -> None:
        """Recovers the state from the log.

        Args:
            name: This replica's name.
            initial_voters: Names of the replicas in the initial set.
            entries: The Raft log, on storage.
            rng: Seeded random source.
            now_s: Current time.
            numbering: Policy for rule file numbers, see ``submissions.RuleHistory``.
            **membership: Passed on to ``consensus.Replica``.
        """
        self.replica = consensus.Replica(
            name=name,
            initial_voters=initial_voters,
            entries=entries,
            rng=rng,
            now_s=now_s,
            **membership,
        )
        self.history = submissions.RuleHistory(numbering=numbering)
        self.history.load(entries.snapshot)
        self.evacuations = evacuations.Evacuations()
        self.evacuations.load(entries.snapshot)
        self._logged_joins: set[str] = set()
        # Senders and kinds of the outdated messages that were logged in the term.
        self._logged_outdated: set[tuple[str, str]] = set()
        self._logged_outdated_term = 0
        self._pending: list[_Request] = []
        self._next_ticket = 0
        self._answers: list[Answer] = []
        self._notices: list[Notice] = []
        self._role = self.replica.role
        detail = f"rule file {self.history.number}, {entries.last_index} entries"
        self._note(events.REPLICA_RECOVERED, self.replica.member, detail)

    def _note(self, event: events.Event, peer: str, detail: str) -> None:
        self._notices.append(Notice(event=event, peer=peer, detail=detail))

    def take_messages(self) -> list[control_pb2.ReplicaMessage]:
        """Removes and returns the queued messages to other replicas."""
        taken, self.replica.messages = self.replica.messages, []
        return taken

    def take_answers(self) -> list[Answer]:
        """Removes and returns the queued answers."""
        taken, self._answers = self._answers, []
        return taken

    def take_notices(self) -> list[Notice]:
        """Removes and returns the queued events."""
        taken, self._notices = self._notices, []
        return taken

    def _new_request(self, command: Command | None, now_s: float) -> _Request:
        self._next_ticket += 1
        return _Request(
            ticket=self._next_ticket, command=command, deadline_s=now_s + SUBMIT_TIMEOUT_S
        )

    def read(self, now_s: float) -> int:
        """Requests confirmation by a majority that ``history.current`` is up to date.

        Args:
            now_s: Current time.

        Returns:
            The ticket of the answer; its outcome is yes if the file was confirmed.
        """
        read = self._new_request(None, now_s)
        self._pending.append(read)
        self._advance(now_s)
        return read.ticket

    def submit(self, number: int, content: bytes, now_s: float, source: bytes = b"") -> int:
        """Submits a rule file.

        Args:
            number: The rule file's number.
            content: The rule file's bytes.
            now_s: Current time.
            source: What the rules were compiled from; stored with them.

        Returns:
            The ticket of the answer.
        """
        file = control_pb2.RuleFile(number=number, content=content, source=source)
        request = self._new_request(file, now_s)
        try:
            rules.parse(number, content)
        except errors.RuleError as error:
            self._answer(request, control_pb2.SUBMIT_OUTCOME_NO, error.reason)
            return request.ticket
        self._pending.append(request)
        self._advance(now_s)
        return request.ticket

    def order(
        self, order: control_pb2.ZoneOrder, now_s: float, latest_s: float | None = None
    ) -> int:
        """Proposes a zone order at once, also one that would change nothing.

        An earlier opposite order may be in the log without being committed, so the state in force
        can't answer it.

        Args:
            order: The order.
            now_s: Current time.
            latest_s: When its caller stops waiting: it must not be proposed after that, since the
                opposite order may have been acknowledged by then. None where the caller waits.

        Returns:
            The ticket of the answer.
        """
        request = self._new_request(order, now_s)
        unknown = control_pb2.SUBMIT_OUTCOME_UNKNOWN
        if latest_s is not None and now_s > latest_s:
            self._answer(request, unknown, "the order arrived too late")
            return request.ticket
        outdated = self.replica.outdated_member(ORDERS_VERSION)
        if self.replica.role is consensus.Role.LEADER and outdated is not None:
            reason = f"{outdated} may run a version that does not know zone orders"
            self._answer(request, unknown, reason)
            return request.ticket
        if self._propose(request, now_s):
            self._pending.append(request)
        self._advance(now_s)
        return request.ticket

    def _answer(self, request: _Request, outcome: int, reason: str) -> None:
        reply = control_pb2.SubmitReply(
            outcome=outcome,
            reason=reason,
            leader=self.replica.leader,
            number_in_force=self.history.number,
        )
        self._answers.append(Answer(ticket=request.ticket, reply=reply))
        if request in self._pending:
            self._pending.remove(request)
        if outcome == control_pb2.SUBMIT_OUTCOME_NOT_LEADER or request.command is None:
            return
        is_yes = outcome == control_pb2.SUBMIT_OUTCOME_YES
        if isinstance(request.command, control_pb2.ZoneOrder):
            event = events.ZONE_ORDER_ACCEPTED if is_yes else events.ZONE_ORDER_REJECTED
            self._note(event, request.command.zone, reason)
            return
        event = events.RULE_FILE_ACCEPTED if is_yes else events.RULE_FILE_REJECTED
        self._note(event, f"rule file {request.command.number}", reason)

    def receive(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        """Handles a message from another replica.

        Args:
            message: The message.
            now_s: Current time.
        """
        self.replica.receive(message, now_s)
        self._advance(now_s)

    def tick(self, now_s: float) -> None:
        """Runs timers and expires overdue requests; called every few hundredths of a second.

        Args:
            now_s: Current time.
        """
        self.replica.tick(now_s)
        self._advance(now_s)
        for request in [r for r in self._pending if r.deadline_s <= now_s]:
            self._answer(
                request, control_pb2.SUBMIT_OUTCOME_UNKNOWN, "no majority answered in time"
            )

    def _advance(self, now_s: float) -> None:
        self._load_installed_snapshot()
        self._apply()
        self._advance_requests(now_s)
        self._apply()
        self.replica.compact(self._save)
        self.replica.min_version = ORDERS_VERSION if self.evacuations.revision else 0
        self._log_refused_joins()
        self._log_outdated_messages()
        if self.replica.role is not self._role:
            self._role = self.replica.role
            self._note(events.REPLICA_ROLE, self.replica.member, self._role.value)

    def _save(self, snapshot: control_pb2.Snapshot) -> None:
        self.history.save(snapshot)
        self.evacuations.save(snapshot)

    def _log_refused_joins(self) -> None:
        for member, version in self.replica.refused_joins.items():
            if member not in self._logged_joins:
                detail = f"version {version} of the format does not know zone orders"
                self._note(events.REPLICA_REFUSED, member, detail)
        self._logged_joins |= self.replica.refused_joins.keys()
        self.replica.refused_joins = {}

    def _log_outdated_messages(self) -> None:
        """Logs dropped messages, one of each sender and kind in a term."""
        messages, self.replica.outdated_messages = self.replica.outdated_messages, []
        for message in messages:
            if message.own_term != self._logged_outdated_term:
                self._logged_outdated_term = message.own_term
                self._logged_outdated = set()
            key = message.sender, message.field
            if key not in self._logged_outdated:
                self._logged_outdated.add(key)
                detail = f"{message.field} of term {message.term} in term {message.own_term}"
                self._note(events.REPLICA_MESSAGE_OUTDATED, message.sender, detail)

    def _load_installed_snapshot(self) -> None:
        snapshot = self.replica.installed_snapshot
        if snapshot is None:
            return
        self.replica.installed_snapshot = None
        self._check_rule_number(snapshot.rule_file.number)
        self._check_places_revision(snapshot.places_revision)
        self.history.load(snapshot)
        self.evacuations.load(snapshot)

    def _check_places_revision(self, revision: int) -> None:
        if revision < self.evacuations.revision:
            own = self.evacuations.revision
            reason = f"snapshot holds {revision} changes of evacuated zones, fewer than {own}"
            raise errors.InvariantError(
                step="load snapshot", peer=self.replica.member, reason=reason
            )

    def _check_rule_number(self, number: int) -> None:
        if number < self.history.number:
            reason = f"snapshot holds rule file {number}, older than {self.history.number}"
            raise errors.InvariantError(
                step="load snapshot", peer=self.replica.member, reason=reason
            )

    def _apply(self) -> None:
        entries, self.replica.committed_entries = self.replica.committed_entries, []
        for entry in entries:
            kind = entry.WhichOneof("command")
            if kind == "rule_file":
                decision = self.history.apply(entry.rule_file)
            elif kind == "zone_order":
                decision = self.evacuations.apply(entry.zone_order)
            else:
                continue
            for request in [r for r in self._pending if r.index == entry.index]:
                self._answer_committed(request, entry, decision)

    def _answer_committed(
        self,
        request: _Request,
        entry: control_pb2.LogEntry,
        decision: submissions.Decision | evacuations.Decision,
    ) -> None:
        if request.term != entry.term:
            self._answer(request, control_pb2.SUBMIT_OUTCOME_UNKNOWN, "the leader changed")
            return
        self._answer_decision(request, decision)

    def _answer_decision(
        self, request: _Request, decision: submissions.Decision | evacuations.Decision
    ) -> None:
        yes, no = control_pb2.SUBMIT_OUTCOME_YES, control_pb2.SUBMIT_OUTCOME_NO
        self._answer(request, yes if decision.is_yes else no, decision.reason)

    def _advance_requests(self, now_s: float) -> None:
        self._finish_reads()
        is_proposing = any(
            r.index and isinstance(r.command, control_pb2.RuleFile) for r in self._pending
        )
        for request in list(self._pending):
            if request.index or request.is_confirming:
                self._fail_unless_leader(request)
                continue
            if request.command is None:
                self._start_read(request, now_s)
                continue
            decision = self._evaluate(request)
            if decision.verdict is not submissions.Verdict.ACCEPTED:
                self._start_read(request, now_s)
            elif not is_proposing:
                is_proposing = self._propose(request, now_s)

    def _evaluate(self, request: _Request) -> submissions.Decision:
        return self.history.evaluate(request.command.number, request.command.content)

    def _fail_unless_leader(self, request: _Request) -> None:
        if self.replica.role is not consensus.Role.LEADER:
            reason = "the leader changed"
            self._answer(request, control_pb2.SUBMIT_OUTCOME_UNKNOWN, reason)

    def _propose(self, request: _Request, now_s: float) -> bool:
        request.term = self.replica.term
        index = self.replica.propose(request.command, now_s)
        if isinstance(index, errors.Nothing):
            self._answer(request, control_pb2.SUBMIT_OUTCOME_NOT_LEADER, index.reason)
            return False
        request.index = index
        return True

    def _start_read(self, request: _Request, now_s: float) -> None:
        """Starts a read confirmation.

        An answer that follows from the current state rather than from a commit needs one: a
        replica that has lost leadership without noticing would answer from stale state.
        """
        if self.replica.role is not consensus.Role.LEADER:
            self._answer(request, control_pb2.SUBMIT_OUTCOME_NOT_LEADER, "not_leader")
            return
        request.is_confirming = self.replica.read(request.ticket, now_s)

    def _finish_reads(self) -> None:
        tickets, self.replica.confirmed_reads = self.replica.confirmed_reads, []
        for request in [r for r in self._pending if r.ticket in tickets]:
            request.is_confirming = False
            if request.command is None:
                self._answer(request, control_pb2.SUBMIT_OUTCOME_YES, "confirmed")
                continue
            decision = self._evaluate(request)
            if decision.verdict is not submissions.Verdict.ACCEPTED:
                self._answer_decision(request, decision)

    def view(self, now_s: float) -> View:
        """Returns the current state.

        Args:
            now_s: Current time.
        """
        replica = self.replica
        return View(
            taken_s=now_s,
            role=replica.role,
            leader=replica.leader,
            term=replica.term,
            commit_index=replica.commit_index,
            is_voter=replica.is_voter,
            has_leader=replica.has_leader(now_s),
            rules=self.history.current,
            evacuated=self.evacuations.zones,
            places_revision=self.evacuations.revision,
            voters=tuple(replica.replica_set.voters),
            learners=tuple(replica.replica_set.learners),
        )

    def status(self) -> control_pb2.StatusReply:
        """Returns the replica's role, term, log position and rule number."""
        return control_pb2.StatusReply(
            name=self.replica.member,
            role=self.replica.role.value,
            term=self.replica.term,
            leader=self.replica.leader,
            commit_index=self.replica.commit_index,
            last_index=self.replica.last_index,
            rule_number=self.history.number,
            replica_set=self.replica.replica_set,
            evacuated_zones=sorted(self.evacuations.zones),
            places_revision=self.evacuations.revision,
        )
