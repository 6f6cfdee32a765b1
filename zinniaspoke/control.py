"""The control VM's core: submissions in, answers and messages out."""

import random

import attrs

from zinniaspoke import consensus, errors, events, log, rules, submissions
from zinniaspoke.proto import control_pb2

SUBMIT_TIMEOUT_S = 5.0


@attrs.frozen(kw_only=True)
class Answer:
    """What an operator is told.

    Attributes:
        ticket: Which submission.
        reply: The answer.
    """

    ticket: int
    reply: control_pb2.SubmitReply


@attrs.frozen(kw_only=True)
class Notice:
    """A numbered event to log.

    Attributes:
        event: Which event.
        peer: Whom it concerns.
        detail: What happened, in words.
    """

    event: events.Event
    peer: str
    detail: str


@attrs.define(kw_only=True, slots=True)
class _Submission:
    """A call that waits for its answer; ``file`` is None for a read."""

    ticket: int
    file: control_pb2.RuleFile | None
    deadline_s: float
    index: int = 0
    term: int = 0
    is_reading: bool = False


class Control:
    """The decisions of one control VM, without sockets or clocks."""

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
        """Starts from what the log holds.

        Args:
            name: This replica's name.
            initial_voters: Names of the replicas of the first set.
            entries: The log on storage.
            rng: Seeded random source.
            now_s: Current time.
            numbering: Which numbers are accepted, see ``submissions.RuleHistory``.
            **membership: See ``consensus.Replica``.
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
        self._submissions: list[_Submission] = []
        self._next_ticket = 0
        self._answers: list[Answer] = []
        self._notices: list[Notice] = []
        self._role = self.replica.role
        detail = f"rule file {self.history.number}, {entries.last_index} entries"
        self._note(events.REPLICA_RECOVERED, self.replica.member, detail)

    def _note(self, event: events.Event, peer: str, detail: str) -> None:
        self._notices.append(Notice(event=event, peer=peer, detail=detail))

    def take_messages(self) -> list[control_pb2.ReplicaMessage]:
        """Returns the messages to send and starts anew."""
        taken, self.replica.messages = self.replica.messages, []
        return taken

    def take_answers(self) -> list[Answer]:
        """Returns the answers to give and starts anew."""
        taken, self._answers = self._answers, []
        return taken

    def take_notices(self) -> list[Notice]:
        """Returns the events to log and starts anew."""
        taken, self._notices = self._notices, []
        return taken

    def _open(self, file: control_pb2.RuleFile | None, now_s: float) -> _Submission:
        self._next_ticket += 1
        return _Submission(ticket=self._next_ticket, file=file, deadline_s=now_s + SUBMIT_TIMEOUT_S)

    def read(self, now_s: float) -> int:
        """Asks for a confirmation that ``history.current`` is the newest accepted file.

        Args:
            now_s: Current time.

        Returns:
            A ticket under which the answer comes: yes where it was confirmed.
        """
        read = self._open(None, now_s)
        self._submissions.append(read)
        self._advance(now_s)
        return read.ticket

    def submit(self, number: int, content: bytes, now_s: float, source: bytes = b"") -> int:
        """Takes a submission.

        Args:
            number: The rule file's number.
            content: Its bytes.
            now_s: Current time.
            source: What the rules were compiled from, kept beside them.

        Returns:
            A ticket under which the answer comes.
        """
        file = control_pb2.RuleFile(number=number, content=content, source=source)
        submission = self._open(file, now_s)
        try:
            rules.parse(number, content)
        except errors.RuleError as error:
            self._answer(submission, control_pb2.SUBMIT_OUTCOME_NO, error.reason)
            return submission.ticket
        self._submissions.append(submission)
        self._advance(now_s)
        return submission.ticket

    def _answer(self, submission: _Submission, outcome: int, reason: str) -> None:
        reply = control_pb2.SubmitReply(
            outcome=outcome,
            reason=reason,
            leader=self.replica.leader,
            number_in_force=self.history.number,
        )
        self._answers.append(Answer(ticket=submission.ticket, reply=reply))
        if submission in self._submissions:
            self._submissions.remove(submission)
        if outcome == control_pb2.SUBMIT_OUTCOME_NOT_LEADER or submission.file is None:
            return
        is_yes = outcome == control_pb2.SUBMIT_OUTCOME_YES
        event = events.RULE_FILE_ACCEPTED if is_yes else events.RULE_FILE_REJECTED
        self._note(event, f"rule file {submission.file.number}", reason)

    def receive(self, message: control_pb2.ReplicaMessage, now_s: float) -> None:
        """Takes a message from another replica.

        Args:
            message: The message.
            now_s: Current time.
        """
        self.replica.receive(message, now_s)
        self._advance(now_s)

    def tick(self, now_s: float) -> None:
        """Does what is due; called every few hundredths of a second.

        Args:
            now_s: Current time.
        """
        self.replica.tick(now_s)
        self._advance(now_s)
        for submission in [s for s in self._submissions if s.deadline_s <= now_s]:
            self._answer(submission, control_pb2.SUBMIT_OUTCOME_UNKNOWN, "no majority in time")

    def _advance(self, now_s: float) -> None:
        self._load_installed()
        self._apply()
        self._advance_submissions(now_s)
        self._apply()
        self.replica.compact(self.history.save)
        if self.replica.role is not self._role:
            self._role = self.replica.role
            self._note(events.REPLICA_ROLE, self.replica.member, self._role.value)

    def _load_installed(self) -> None:
        snapshot = self.replica.installed_snapshot
        if snapshot is None:
            return
        self.replica.installed_snapshot = None
        self._check_number(snapshot.rule_file.number)
        self.history.load(snapshot)

    def _check_number(self, number: int) -> None:
        if number < self.history.number:
            reason = f"rule file {number} after {self.history.number}"
            raise errors.InvariantError(
                step="load snapshot", peer=self.replica.member, reason=reason
            )

    def _apply(self) -> None:
        entries, self.replica.committed_entries = self.replica.committed_entries, []
        for entry in entries:
            if entry.WhichOneof("command") != "rule_file":
                continue
            decision = self.history.apply(entry.rule_file)
            for submission in [s for s in self._submissions if s.index == entry.index]:
                self._settle(submission, entry, decision)

    def _settle(
        self,
        submission: _Submission,
        entry: control_pb2.LogEntry,
        decision: submissions.Decision,
    ) -> None:
        if submission.term != entry.term:
            self._answer(submission, control_pb2.SUBMIT_OUTCOME_UNKNOWN, "the leader changed")
            return
        self._conclude(submission, decision)

    def _conclude(self, submission: _Submission, decision: submissions.Decision) -> None:
        yes, no = control_pb2.SUBMIT_OUTCOME_YES, control_pb2.SUBMIT_OUTCOME_NO
        self._answer(submission, yes if decision.is_yes else no, decision.reason)

    def _advance_submissions(self, now_s: float) -> None:
        self._finish_reads()
        is_busy = any(s.index for s in self._submissions)
        for submission in list(self._submissions):
            if submission.index or submission.is_reading:
                self._check_leads(submission)
                continue
            if submission.file is None:
                self._start_read(submission, now_s)
                continue
            decision = self.history.evaluate(submission.file.number, submission.file.content)
            if decision.verdict is not submissions.Verdict.ACCEPTED:
                self._start_read(submission, now_s)
            elif not is_busy:
                is_busy = self._propose(submission, now_s)

    def _check_leads(self, submission: _Submission) -> None:
        if self.replica.role is not consensus.Role.LEADER:
            reason = "the leader changed"
            self._answer(submission, control_pb2.SUBMIT_OUTCOME_UNKNOWN, reason)

    def _propose(self, submission: _Submission, now_s: float) -> bool:
        submission.term = self.replica.term
        index = self.replica.propose(submission.file, now_s)
        if isinstance(index, errors.Nothing):
            self._answer(submission, control_pb2.SUBMIT_OUTCOME_NOT_LEADER, index.reason)
            return False
        submission.index = index
        return True

    def _start_read(self, submission: _Submission, now_s: float) -> None:
        """Confirms leadership before an answer that is not a fresh acceptance."""
        if self.replica.role is not consensus.Role.LEADER:
            self._answer(submission, control_pb2.SUBMIT_OUTCOME_NOT_LEADER, "not_leader")
            return
        submission.is_reading = self.replica.read(submission.ticket, now_s)

    def _finish_reads(self) -> None:
        tickets, self.replica.confirmed_reads = self.replica.confirmed_reads, []
        for submission in [s for s in self._submissions if s.ticket in tickets]:
            submission.is_reading = False
            if submission.file is None:
                self._answer(submission, control_pb2.SUBMIT_OUTCOME_YES, "confirmed")
                continue
            decision = self.history.evaluate(submission.file.number, submission.file.content)
            if decision.verdict is not submissions.Verdict.ACCEPTED:
                self._conclude(submission, decision)

    def status(self) -> control_pb2.StatusReply:
        """Returns what this replica is and holds."""
        return control_pb2.StatusReply(
            name=self.replica.member,
            role=self.replica.role.value,
            term=self.replica.term,
            leader=self.replica.leader,
            commit_index=self.replica.commit_index,
            last_index=self.replica.last_index,
            rule_number=self.history.number,
            replica_set=self.replica.replica_set,
        )
