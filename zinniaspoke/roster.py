"""Registry of announced targets: soft state that control VMs gossip and send to entry VMs."""

import enum
from collections.abc import Iterable

import attrs

from zinniaspoke import errors, hashing

# A target gets no new flows after this many intervals without an announcement: one may be late
# and one lost, and a target waits a second before it tries another control VM.
MISSED_ANNOUNCEMENTS = 3
# Ended targets are kept this much longer than the deployment's bound on the age of flows; flows
# that are older than the bound may be dropped.
RETAIN_SLACK_S = 30.0
STALE = errors.Nothing(reason="stale_announcement")


class State(enum.IntEnum):
    """State that a target last announced; it never decreases within an incarnation."""

    READY = 0
    DRAINING = 1
    ENDED = 2


@attrs.frozen(kw_only=True)
class Target:
    """One incarnation of a target.

    Attributes:
        identity: The name under which it announces itself.
        started_ms: When it started, in Unix milliseconds; a later start is another incarnation.
        sequence: Increases with each announcement of the incarnation.
        service: The service that it runs.
        address: IP address and port.
        zone: Its availability zone.
        slot_count: Number of requests that it serves concurrently.
        state: The state that it last announced.
        warm_at_s: End of its warm-up, in which it is slower than usual, on this process's clock.
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
        """Derives the token from identity and start alone, so that all VMs compute the same one."""
        token = hashing.short_hash(f"{self.identity}/{self.started_ms}".encode())
        object.__setattr__(self, "token", token)

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key of records of one identity: a newer record has a greater key."""
        return self.started_ms, self.state, self.sequence


@attrs.define(kw_only=True, slots=True)
class Entry:
    """A target's newest record with this process's bookkeeping.

    Attributes:
        target: The newest record.
        heard_s: When it last announced itself, here or to another control VM.
        is_silent: Whether its announcements have stopped.
        revision: The roster's revision at the last change that subscribers have to be sent.
    """

    target: Target
    heard_s: float
    is_silent: bool = False
    revision: int = 0


class Roster:
    """Newest record of each target; records are ordered by start, state and sequence."""

    def __init__(self, *, silent_after_s: float, retain_s: float) -> None:
        """Starts empty.

        Args:
            silent_after_s: Time without announcements after which a target counts as silent.
            retain_s: Time for which an ended or silent target is kept, for its open flows.
        """
        self._silent_after_s = silent_after_s
        self._retain_s = retain_s
        self._entries: dict[str, Entry] = {}
        self._address_owners: dict[tuple[str, int], str] = {}
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
        """Returns the entries with changes that a subscriber has not been sent.

        Args:
            revision: The last revision that the subscriber was sent.
        """
        return [e for e in self._entries.values() if e.revision > revision]

    def _mark_changed(self, entry: Entry) -> None:
        self.revision += 1
        entry.revision = self.revision

    def observe(self, target: Target, heard_s: float, now_s: float) -> Entry | errors.Nothing:
        """Registers or renews a target from an announcement, received directly or by gossip.

        Args:
            target: The announced record.
            heard_s: When the announcement was received, here or by another control VM.
            now_s: Current time.

        Returns:
            The entry, or ``STALE`` if the record is not newer than the known one.
        """
        known = self._entries.get(target.identity)
        if known is None:
            entry = Entry(target=target, heard_s=heard_s)
            self._entries[target.identity] = entry
            entry.is_silent = now_s - heard_s > self._silent_after_s
            self._mark_changed(entry)
            self._resolve_address_conflict(entry)
            return entry
        if not self._is_newer(target, known.target):
            if target.order == known.target.order:
                self._renew(known, heard_s, now_s)
            return STALE
        is_change = (target.started_ms, target.state) != (
            known.target.started_ms,
            known.target.state,
        )
        is_moved = target.address != known.target.address or target.service != known.target.service
        known.target = target
        self._renew(known, heard_s, now_s)
        if is_change or is_moved:
            self._mark_changed(known)
            self._resolve_address_conflict(known)
        return known

    @staticmethod
    def _is_newer(target: Target, known: Target) -> bool:
        """Compares two records; the state never decreases within an incarnation."""
        if target.started_ms != known.started_ms:
            return target.started_ms > known.started_ms
        if target.state < known.state:
            return False
        return target.state > known.state or target.sequence > known.sequence

    def _renew(self, entry: Entry, heard_s: float, now_s: float) -> None:
        entry.heard_s = max(entry.heard_s, heard_s)
        if entry.is_silent and now_s - entry.heard_s <= self._silent_after_s:
            entry.is_silent = False
            self._mark_changed(entry)

    def _resolve_address_conflict(self, entry: Entry) -> None:
        """Marks the earlier of two incarnations at one address as ended."""
        address = entry.target.address
        owner = self._entries.get(self._address_owners.get(address, ""))
        if owner is None or owner is entry or owner.target.address != address:
            self._address_owners[address] = entry.target.identity
            return
        older, newer = sorted((owner, entry), key=lambda e: e.target.started_ms)
        if older.target.started_ms == newer.target.started_ms:
            older, newer = owner, entry
        self._address_owners[address] = newer.target.identity
        self._mark_ended(older)

    def _mark_ended(self, entry: Entry) -> None:
        if entry.target.state is not State.ENDED:
            entry.target = attrs.evolve(entry.target, state=State.ENDED)
            self._mark_changed(entry)

    def deregister(self, identity: str, now_s: float) -> Entry | errors.Nothing:
        """Marks a target as ended at its own request.

        Args:
            identity: The target's name.
            now_s: Current time.

        Returns:
            The entry, or ``unknown_target``.
        """
        entry = self._entries.get(identity)
        if entry is None:
            return errors.Nothing(reason="unknown_target")
        entry.heard_s = now_s
        self._mark_ended(entry)
        return entry

    def tick(self, now_s: float) -> list[Entry]:
        """Marks silent targets and removes those whose retention time has passed.

        Args:
            now_s: Current time.

        Returns:
            The entries that became silent.
        """
        newly_silent = []
        for entry in list(self._entries.values()):
            silence_s = now_s - entry.heard_s
            if silence_s > self._silent_after_s + self._retain_s:
                self._remove(entry)
            elif not entry.is_silent and silence_s > self._silent_after_s:
                entry.is_silent = True
                self._mark_changed(entry)
                newly_silent.append(entry)
        return newly_silent

    def _remove(self, entry: Entry) -> None:
        identity = entry.target.identity
        del self._entries[identity]
        if self._address_owners.get(entry.target.address) == identity:
            del self._address_owners[entry.target.address]

    def entries(self) -> Iterable[Entry]:
        """Returns all entries."""
        return self._entries.values()
