"""Promises that are checked while the program runs, always."""

from zinniaspoke import errors, events, outbox


class Invariants:
    """Checks promises; a broken one is logged, and raises where tests ask for it."""

    def __init__(self, *, out: outbox.Outbox, is_strict: bool) -> None:
        """Sets what happens on a violation.

        Args:
            out: Where the event is logged.
            is_strict: Whether to raise.
        """
        self._out = out
        self._is_strict = is_strict

    def holds(self, condition: bool, promise: str, flow: bytes) -> bool:
        """Checks one promise.

        Args:
            condition: Whether it holds.
            promise: The promise in words.
            flow: Key of the flow that it concerns.

        Returns:
            The condition, so that the caller can drop the packet instead.

        Raises:
            errors.InvariantError: It does not hold and checks are strict.
        """
        if condition:
            return True
        self._out.log(events.INVARIANT_BROKEN, flow.hex(), promise)
        if self._is_strict:
            raise errors.InvariantError(step="check promise", peer=flow.hex(), reason=promise)
        return False
