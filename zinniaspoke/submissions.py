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
    OTHER_BYTES = "other bytes"
    OLD = "old"
    OVERTAKEN = "overtaken"
    GAP = "gap"


_SETTLED = (Verdict.ACCEPTED, Verdict.REPEATED, Verdict.OVERTAKEN)


@attrs.frozen(kw_only=True)
class Finding:
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


_NUMBERINGS: dict[str, Callable[["RuleHistory", int, bytes], Finding]] = {}


def _numbering(name: str) -> Callable:
    """Registers a rule of numbering under its name for the settings."""

    def register(judge: Callable) -> Callable:
        _NUMBERINGS[name] = judge
        return judge

    return register


@_numbering("successive")
def _judge_successive(history: "RuleHistory", number: int, content: bytes) -> Finding:
    """Number n is accepted only after n-1, so that two operators cannot both win."""
    in_force = f"number {history.number} is in force"
    if number == history.number + 1:
        return Finding(verdict=Verdict.ACCEPTED, reason=f"number {number} is accepted")
    if number > history.number + 1:
        reason = f"{in_force}, the next number is {history.number + 1}"
        return Finding(verdict=Verdict.GAP, reason=reason)
    known = history.digest_of(number)
    if known is None:
        return Finding(verdict=Verdict.OLD, reason=f"number {number} is too old: {in_force}")
    if known == digest(content):
        reason = f"number {number} was accepted with these bytes"
        return Finding(verdict=Verdict.REPEATED, reason=reason)
    reason = f"number {number} was accepted with other bytes: {in_force}"
    return Finding(verdict=Verdict.OTHER_BYTES, reason=reason)


@_numbering("highest")
def _judge_highest(history: "RuleHistory", number: int, content: bytes) -> Finding:
    """Any higher number is accepted; a lower or equal one is settled and changes nothing."""
    del content
    if number > history.number:
        return Finding(verdict=Verdict.ACCEPTED, reason=f"number {number} is accepted")
    reason = f"nothing changes: number {history.number} is in force"
    return Finding(verdict=Verdict.OVERTAKEN, reason=reason)


class RuleHistory:
    """The accepted rule file and the digests of those before it."""

    def __init__(self, *, numbering: str = DEFAULT_NUMBERING) -> None:
        """Starts before the first file.

        Args:
            numbering: Which numbers are accepted: ``successive`` or ``highest``.
        """
        self._judge = _NUMBERINGS[numbering]
        self.current = control_pb2.RuleFile()
        self._digests: dict[int, bytes] = {}

    @property
    def number(self) -> int:
        """Number of the accepted file; 0 for none."""
        return self.current.number

    def judge(self, number: int, content: bytes) -> Finding:
        """Says what would come of a submission now.

        Args:
            number: The submitted number.
            content: The submitted bytes.

        Returns:
            The finding.
        """
        return self._judge(self, number, content)

    def digest_of(self, number: int) -> bytes | None:
        """Returns the digest of a file accepted lately, or None.

        Args:
            number: The file's number.
        """
        return self._digests.get(number)

    def apply(self, file: control_pb2.RuleFile) -> Finding:
        """Applies a committed submission.

        Args:
            file: The submission.

        Returns:
            The finding; only an accepted one changes the state.
        """
        finding = self.judge(file.number, file.content)
        if finding.verdict is Verdict.ACCEPTED:
            self.current = file
            self._digests[file.number] = digest(file.content)
            self._digests.pop(file.number - DIGEST_COUNT, None)
        return finding

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
