"""The state that control replicas agree on: accepted rule files in the order of their numbers."""

import enum
from collections.abc import Callable

import attrs
import xxhash

from zinniaspoke.proto import control_pb2

DIGEST_COUNT = 256
DEFAULT_NUMBERING = "successive"


class Verdict(enum.Enum):
    """What applying or looking at a submission says."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    CONFLICTING = "conflicting"
    OLD = "old"
    SUPERSEDED = "superseded"
    GAP = "gap"


_SETTLED = (Verdict.ACCEPTED, Verdict.REPEATED, Verdict.SUPERSEDED)


@attrs.frozen(kw_only=True)
class Decision:
    """A verdict with its words for the operator.

    Attributes:
        verdict: The verdict.
        reason: Why, naming the number in force.
    """

    verdict: Verdict
    reason: str

    @property
    def is_yes(self) -> bool:
        """Whether the operator is told yes."""
        return self.verdict in _SETTLED


def digest(content: bytes) -> bytes:
    """Hashes a rule file's bytes.

    Args:
        content: The bytes.

    Returns:
        A digest of 16 bytes.
    """
    return xxhash.xxh3_128_digest(content)


_NUMBERINGS: dict[str, Callable[["RuleHistory", int, bytes], Decision]] = {}


def _numbering(name: str) -> Callable:
    """Registers a rule of numbering under its name for the settings."""

    def register(evaluate: Callable) -> Callable:
        _NUMBERINGS[name] = evaluate
        return evaluate

    return register


@_numbering("successive")
def _evaluate_successive(history: "RuleHistory", number: int, content: bytes) -> Decision:
    """Number n is accepted only after n-1, so that two operators cannot both win."""
    in_force = f"number {history.number} is in force"
    if number == history.number + 1:
        return Decision(verdict=Verdict.ACCEPTED, reason=f"number {number} is accepted")
    if number > history.number + 1:
        reason = f"{in_force}, the next number is {history.number + 1}"
        return Decision(verdict=Verdict.GAP, reason=reason)
    known = history.digest_of(number)
    if known is None:
        return Decision(verdict=Verdict.OLD, reason=f"number {number} is too old: {in_force}")
    if known == digest(content):
        reason = f"number {number} was accepted with these bytes"
        return Decision(verdict=Verdict.REPEATED, reason=reason)
    reason = f"number {number} was accepted with other bytes: {in_force}"
    return Decision(verdict=Verdict.CONFLICTING, reason=reason)


@_numbering("highest")
def _evaluate_highest(history: "RuleHistory", number: int, content: bytes) -> Decision:
    """Any higher number is accepted; a lower or equal one is settled and changes nothing."""
    del content
    if number > history.number:
        return Decision(verdict=Verdict.ACCEPTED, reason=f"number {number} is accepted")
    reason = f"nothing changes: number {history.number} is in force"
    return Decision(verdict=Verdict.SUPERSEDED, reason=reason)


class RuleHistory:
    """The accepted rule file and the digests of those before it."""

    def __init__(self, *, numbering: str = DEFAULT_NUMBERING) -> None:
        """Starts before the first file.

        Args:
            numbering: Which numbers are accepted: ``successive`` or ``highest``.
        """
        self._evaluate = _NUMBERINGS[numbering]
        self.current = control_pb2.RuleFile()
        self._digests: dict[int, bytes] = {}

    @property
    def number(self) -> int:
        """Number of the accepted file; 0 for none."""
        return self.current.number

    def evaluate(self, number: int, content: bytes) -> Decision:
        """Says what would come of a submission now.

        Args:
            number: The submitted number.
            content: The submitted bytes.

        Returns:
            The decision.
        """
        return self._evaluate(self, number, content)

    def digest_of(self, number: int) -> bytes | None:
        """Returns the digest of a file accepted lately, or None.

        Args:
            number: The file's number.
        """
        return self._digests.get(number)

    def apply(self, file: control_pb2.RuleFile) -> Decision:
        """Applies a committed submission.

        Args:
            file: The submission.

        Returns:
            The decision; only an accepted one changes the state.
        """
        decision = self.evaluate(file.number, file.content)
        if decision.verdict is Verdict.ACCEPTED:
            self.current = file
            self._digests[file.number] = digest(file.content)
            self._digests.pop(file.number - DIGEST_COUNT, None)
        return decision

    def save(self, snapshot: control_pb2.Snapshot) -> None:
        """Writes the state into a snapshot.

        Args:
            snapshot: The snapshot to fill.
        """
        snapshot.rule_file.CopyFrom(self.current)
        for number, value in self._digests.items():
            snapshot.digests.add(number=number, digest=value)

    def load(self, snapshot: control_pb2.Snapshot) -> None:
        """Takes the state from a snapshot.

        Args:
            snapshot: The snapshot.
        """
        self.current = snapshot.rule_file
        self._digests = {entry.number: entry.digest for entry in snapshot.digests}
