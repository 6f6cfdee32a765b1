"""The targets that announced themselves: soft state that control VMs share and entry VMs follow."""

import enum
from collections.abc import Iterable

import attrs

from zinniaspoke import errors, hashing

# A target whose announcements stop is given no new work after this many intervals: one may be
# late and one lost, and a target tries another control VM only after a second.
MISSED_ANNOUNCEMENTS = 3
# Flows older than the deployment's bound may be dropped; an ended target is kept that much longer.
RETAIN_SLACK_S = 30.0
STALE = errors.Nothing(reason="stale_announcement")


class State(enum.IntEnum):
    """What a target said of itself last; within one incarnation it only ever rises."""

    READY = 0
    DRAINING = 1
    ENDED = 2


@attrs.frozen(kw_only=True)
class Target:
    """One incarnation of a target.

    Attributes:
        identity: The name under which it announces itself.
        started_ms: When it started, in Unix milliseconds; a later start is another incarnation.
        sequence: Rises with each announcement of the incarnation.
        service: The service that it runs.
        address: IP number and port.
        zone: Its availability zone.
        slot_count: Pieces of work that it runs at once.
        state: What it said last.
        warm_at_s: Until then it is slower than usual, on this process's clock.
        token: The routing token of the incarnation, never 0.
    """

    identity: str
    started_ms: int
    sequence: int
    service: str
    address: tuple[str, int]
    zone: str
    slot_count: int
    state: State = State.READY
    warm_at_s: float = 0.0
    token: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Derives the token from identity and start alone, so that all VMs agree without words."""
        token = hashing.short_hash(f"{self.identity}/{self.started_ms}".encode())
        object.__setattr__(self, "token", token)

    @property
    def order(self) -> tuple[int, int, int]:
        """Which of two records of one identity is newer."""
        return self.started_ms, self.state, self.sequence


@attrs.define(kw_only=True, slots=True)
class Entry:
    """A target with what this process adds to it.

    Attributes:
        target: The newest record.
        heard_s: When it was last heard of, here or through another control VM.
        is_silent: Whether its announcements have stopped.
        revision: The roster's revision when the entry last changed for followers.
    """

    target: Target
    heard_s: float
    is_silent: bool = False
    revision: int = 0


class Roster:
    """Newest record of each target, ordered by start, state and sequence."""

    def __init__(self, *, silent_after_s: float, retain_s: float) -> None:
        """Starts empty.

        Args:
            silent_after_s: Without announcements for this long a target counts as silent.
            retain_s: An ended or silent target is kept this long, for its open flows.
        """
        self._silent_after_s = silent_after_s
        self._retain_s = retain_s
        self._entries: dict[str, Entry] = {}
        self._holders: dict[tuple[str, int], str] = {}
        self.revision = 0

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, identity: str) -> Entry | None:
        """Returns a target's entry, or None.

        Args:
            identity: The target's name.
        """
        return self._entries.get(identity)

    def changed_since(self, revision: int) -> list[Entry]:
        """Returns the entries that changed for followers after a revision.

        Args:
            revision: What the follower has.
        """
        return [e for e in self._entries.values() if e.revision > revision]

    def _touch(self, entry: Entry) -> None:
        self.revision += 1
        entry.revision = self.revision

    def observe(self, target: Target, heard_s: float, now_s: float) -> Entry | errors.Nothing:
        """Takes an announcement, its own or one that another control VM heard.

        Args:
            target: The record.
            heard_s: When it was heard.
            now_s: Current time.

        Returns:
            The entry, or ``STALE`` where something newer is known.
        """
        known = self._entries.get(target.identity)
        if known is None:
            entry = Entry(target=target, heard_s=heard_s)
            self._entries[target.identity] = entry
            entry.is_silent = now_s - heard_s > self._silent_after_s
            self._touch(entry)
            self._settle_address(entry)
            return entry
        if not self._is_newer(target, known.target):
            if target.order == known.target.order:
                self._hear(known, heard_s, now_s)
            return STALE
        is_change = (target.started_ms, target.state) != (
            known.target.started_ms,
            known.target.state,
        )
        is_moved = target.address != known.target.address or target.service != known.target.service
        known.target = target
        self._hear(known, heard_s, now_s)
        if is_change or is_moved:
            self._touch(known)
            self._settle_address(known)
        return known

    @staticmethod
    def _is_newer(target: Target, known: Target) -> bool:
        """A state never falls within an incarnation: a target that leaves does not come back."""
        if target.started_ms != known.started_ms:
            return target.started_ms > known.started_ms
        if target.state < known.state:
            return False
        return target.state > known.state or target.sequence > known.sequence

    def _hear(self, entry: Entry, heard_s: float, now_s: float) -> None:
        entry.heard_s = max(entry.heard_s, heard_s)
        if entry.is_silent and now_s - entry.heard_s <= self._silent_after_s:
            entry.is_silent = False
            self._touch(entry)

    def _settle_address(self, entry: Entry) -> None:
        """Ends the earlier of two incarnations at one address."""
        address = entry.target.address
        holder = self._entries.get(self._holders.get(address, ""))
        if holder is None or holder is entry or holder.target.address != address:
            self._holders[address] = entry.target.identity
            return
        older, newer = sorted((holder, entry), key=lambda e: e.target.started_ms)
        if older.target.started_ms == newer.target.started_ms:
            older, newer = holder, entry
        self._holders[address] = newer.target.identity
        self._end(older)

    def _end(self, entry: Entry) -> None:
        if entry.target.state is not State.ENDED:
            entry.target = attrs.evolve(entry.target, state=State.ENDED)
            self._touch(entry)

    def deregister(self, identity: str, now_s: float) -> Entry | errors.Nothing:
        """Takes a target's last word.

        Args:
            identity: The target's name.
            now_s: Current time.

        Returns:
            The entry, or the reason why there is none.
        """
        entry = self._entries.get(identity)
        if entry is None:
            return errors.Nothing(reason="unknown_target")
        entry.heard_s = now_s
        self._end(entry)
        return entry

    def tick(self, now_s: float) -> list[Entry]:
        """Marks silent targets and forgets those that are long gone.

        Args:
            now_s: Current time.

        Returns:
            The entries that fell silent.
        """
        fallen = []
        for entry in list(self._entries.values()):
            silence_s = now_s - entry.heard_s
            if silence_s > self._silent_after_s + self._retain_s:
                self._forget(entry)
            elif not entry.is_silent and silence_s > self._silent_after_s:
                entry.is_silent = True
                self._touch(entry)
                fallen.append(entry)
        return fallen

    def _forget(self, entry: Entry) -> None:
        identity = entry.target.identity
        del self._entries[identity]
        if self._holders.get(entry.target.address) == identity:
            del self._holders[entry.target.address]

    def entries(self) -> Iterable[Entry]:
        """Returns all entries."""
        return self._entries.values()
