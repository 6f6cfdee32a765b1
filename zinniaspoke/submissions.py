"""The replicated state machine: accepted rule files in the order of their numbers."""

import enum
from collections.abc import Callable

import attrs
import xxhash

from zinniaspoke.proto import control_pb2

# Digests kept, to tell a repeated submission from a conflicting one.
DIGEST_COUNT = 256
DEFAULT_NUMBERING = "successive"


class Verdict(enum.Enum):
    """Result of checking a submission's number against the accepted files."""

    ACCEPTED = "accepted"
    # Accepted before under this number, with the same bytes.
    REPEATED = "repeated"
    # Accepted before under this number, with other bytes.
    CONFLICTING = "conflicting"
    # So old that its digest is no longer kept.
    OLD = "old"
    # Not above the number in force; an answer of the "highest" policy only.
    SUPERSEDED = "superseded"
    # Numbers before this one are missing.
    GAP = "gap"


_YES_VERDICTS = (Verdict.ACCEPTED, Verdict.REPEATED, Verdict.SUPERSEDED)


@attrs.frozen(kw_only=True)
class Decision:
    """A verdict and its explanation for the operator.

    Attributes:
        verdict: The verdict.
        reason: Explanation; that of a refusal contains the number in force.
    """

    verdict: Verdict
    reason: str

    @property
    def is_yes(self) -> bool:
        """Whether the submission is answered with yes."""
        return self.verdict in _YES_VERDICTS


def digest(content: bytes) -> bytes:
    """Hashes a rule file's bytes.

    Args:
        content: The file's bytes.

    Returns:
        The 16-byte XXH3 digest.
    """
    return xxhash.xxh3_128_digest(content)


_NUMBERINGS: dict[str, Callable[["RuleHistory", int, bytes], Decision]] = {}


def _numbering(name: str) -> Callable:
    """Registers a numbering policy under the name that selects it in the settings."""

    def register(evaluate: Callable) -> Callable:
        _NUMBERINGS[name] = evaluate
        return evaluate

    return register


@_numbering("successive")
def _evaluate_successive(history: "RuleHistory", number: int, content: bytes) -> Decision:
    """Accepts number n only after n-1; of two different files submitted as n, one is refused."""
    in_force = f"number {history.number} is in force"
    if number == history.number + 1:
        return Decision(verdict=Verdict.ACCEPTED, reason=f"number {number} is accepted")
    if number > history.number + 1:
        reason = f"{in_force}, the next number is {history.number + 1}"
        return Decision(verdict=Verdict.GAP, reason=reason)
    accepted_digest = history.digest_of(number)
    if accepted_digest is None:
        return Decision(verdict=Verdict.OLD, reason=f"number {number} is too old: {in_force}")
    if accepted_digest == digest(content):
        reason = f"number {number} was accepted with these bytes"
        return Decision(verdict=Verdict.REPEATED, reason=reason)
    reason = f"number {number} was accepted with other bytes: {in_force}"
    return Decision(verdict=Verdict.CONFLICTING, reason=reason)


@_numbering("highest")
def _evaluate_highest(history: "RuleHistory", number: int, content: bytes) -> Decision:
    """Accepts any higher number; answers a lower or equal one with yes without applying it."""
    del content
    if number > history.number:
        return Decision(verdict=Verdict.ACCEPTED, reason=f"number {number} is accepted")
    reason = f"nothing changes: number {history.number} is in force"
    return Decision(verdict=Verdict.SUPERSEDED, reason=reason)


class RuleHistory:
    """The newest accepted rule file and the digests of recently accepted ones."""

    def __init__(self, *, numbering: str = DEFAULT_NUMBERING) -> None:
        """Starts without an accepted file.

        Args:
            numbering: Numbering policy: ``successive`` or ``highest``.
        """
        self._evaluate = _NUMBERINGS[numbering]
        self.current = control_pb2.RuleFile()
        self._digests: dict[int, bytes] = {}

    @property
    def number(self) -> int:
        """Number of the newest accepted file; 0 for none."""
        return self.current.number

    def evaluate(self, number: int, content: bytes) -> Decision:
        """Checks a submission against the current state, without applying it.

        Args:
            number: The submitted number.
            content: The submitted bytes.

        Returns:
            The decision that ``apply`` would reach now.
        """
        return self._evaluate(self, number, content)

    def digest_of(self, number: int) -> bytes | None:
        """Returns the digest of a recently accepted file, or None.

        Args:
            number: The file's number.
        """
        return self._digests.get(number)

    def apply(self, file: control_pb2.RuleFile) -> Decision:
        """Applies a committed submission.

        Args:
            file: The submission.

        Returns:
            The decision; the state changes only if the verdict is ``ACCEPTED``.
        """
        decision = self.evaluate(file.number, file.content)
        if decision.verdict is Verdict.ACCEPTED:
            self.current = file
            self._digests[file.number] = digest(file.content)
            while len(self._digests) > DIGEST_COUNT:
                del self._digests[min(self._digests)]
        return decision

    def save(self, snapshot: control_pb2.Snapshot) -> None:
        """Adds the state to a snapshot.

        Args:
            snapshot: The snapshot to fill.
        """
        snapshot.rule_file.CopyFrom(self.current)
        for number, value in self._digests.items():
            snapshot.digests.add(number=number, digest=value)

    def load(self, snapshot: control_pb2.Snapshot) -> None:
        """Replaces the state by that of a snapshot.

        Args:
            snapshot: The snapshot to read.
        """
        self.current = snapshot.rule_file
        self._digests = {entry.number: entry.digest for entry in snapshot.digests}
