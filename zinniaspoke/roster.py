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
# Earlier incarnations of a target whose tokens still name it. An opening carries one of them if it
# was sent on before the target's restart was known.
FORMER_STARTS_MAX = 4
# Announcements that a link had held arrive within this part of an announcement interval; those of a
# running target come an interval apart.
HELD_SPAN_INTERVALS = 0.5
# A warm-up that ends this much later than was known began anew; less is the delay of messages.
COLD_AGAIN_S = 0.5
STALE = errors.Nothing(reason="stale_announcement")


def token_of(identity: str, started_ms: int) -> int:
    """Derives an incarnation's token, so that all VMs compute the same one.

    Args:
        identity: The target's name.
        started_ms: Its start, in Unix milliseconds.
    """
    return hashing.short_hash(f"{identity}/{started_ms}".encode())


class State(enum.IntEnum):
    """State that a target last announced; it never decreases within an incarnation."""

    READY = 0
    DRAINING = 1
    ENDED = 2


class End(enum.IntEnum):
    """How the end of an incarnation is known; a higher value is the better evidence.

    A deregistration names no incarnation. It is an incarnation's own word if it came on a
    connection on which that incarnation had announced itself.
    """

    # A deregistration by an unknown sender; an earlier incarnation may have sent it.
    AMBIGUOUS = 0
    # A later incarnation has announced itself at the address.
    REPLACED = 1
    # A deregistration by an unknown sender; no earlier incarnation is known.
    UNATTRIBUTED = 2
    OWN_WORD = 3


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
        state: The state that it last announced, or that it has ended.
        end: If it has ended, how that is known.
        has_drained: If it has ended, whether it had announced that it drains.
        warm_at_s: End of its warm-up, in which it is slower than usual, on this process's clock.
        order_ms: Orders the incarnations; ``started_ms``, or more if its clock had gone back.
        former_starts: Starts of the latest earlier incarnations under this name, at this address
            and for this service.
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
    end: End = End.UNATTRIBUTED
    has_drained: bool = False
    warm_at_s: float = 0.0
    order_ms: int = attrs.field()
    former_starts: tuple[int, ...] = ()
    token: int = attrs.field(init=False)

    @order_ms.default
    def _start_order(self) -> int:
        return self.started_ms

    def __attrs_post_init__(self) -> None:
        """Derives the token from identity and start alone."""
        object.__setattr__(self, "token", token_of(self.identity, self.started_ms))

    @property
    def order(self) -> tuple[int, int, int, int]:
        """Sort key of records of one identity: a newer record has a greater key."""
        evidence = self.end if self.state is State.ENDED else 0
        return self.order_ms, self.state, evidence, self.sequence

    @property
    def has_certainly_ended(self) -> bool:
        """Whether it said itself that it ends."""
        return self.state is State.ENDED and self.end is End.OWN_WORD

    @property
    def may_run(self) -> bool:
        """Whether it may run, so that its open flows must be kept."""
        return self.state is not State.ENDED or self.end is End.AMBIGUOUS

    def with_former_starts(self, other: "Target") -> "Target":
        """Adds what another record of the target tells of its earlier incarnations.

        Flows that were opened at another address, or for another service, are not its flows.

        Args:
            other: A record of the same or an earlier incarnation.
        """
        starts = set(self.former_starts)
        if (other.address, other.service) == (self.address, self.service):
            starts |= {other.started_ms, *other.former_starts}
        latest = tuple(sorted(starts - {self.started_ms})[-FORMER_STARTS_MAX:])
        return self if latest == self.former_starts else attrs.evolve(self, former_starts=latest)


@attrs.define(kw_only=True, slots=True)
class Dispute:
    """Announcements that contradict the known record of their target.

    Attributes:
        started_ms: Start of the incarnation that announces itself.
        sequence: Sequence of its newest announcement.
        since_s: When the first of them arrived.
        last_s: When the newest of them arrived.
        count: How many arrived.
    """

    started_ms: int
    sequence: int
    since_s: float
    last_s: float
    count: int = 1


@attrs.define(kw_only=True, slots=True)
class Entry:
    """A target's newest record with this process's bookkeeping.

    Attributes:
        target: The newest record.
        heard_s: When it last announced itself, here or to another control VM.
        is_silent: Whether its announcements have stopped.
        revision: The roster's revision at the last change that subscribers have to be sent.
        has_restarted: Whether another incarnation under its name has been known.
        dispute: Announcements that contradict this record, or None.
    """

    target: Target
    heard_s: float
    is_silent: bool = False
    revision: int = 0
    has_restarted: bool = False
    dispute: Dispute | None = None


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

    def announce(self, target: Target, now_s: float) -> Entry | errors.Nothing:
        """Registers or renews a target from an announcement that it sent to this VM.

        A record that contradicts a later one is usually a delayed announcement of an incarnation
        that has ended. It is accepted once the target goes on announcing itself while the later
        record's incarnation, or the later owner of the address, is silent: then the clock from
        which ``started_ms`` was read had gone back. Against a deregistration by an unknown sender
        the target's second announcement suffices, as an earlier incarnation may have sent it.

        Args:
            target: The announced record.
            now_s: Current time.

        Returns:
            The entry, or ``STALE`` if the record is not accepted.
        """
        known = self._entries.get(target.identity)
        if known is not None:
            if target.started_ms == known.target.started_ms < known.target.order_ms:
                target = attrs.evolve(target, order_ms=known.target.order_ms)
            if self._contradicts(target, known):
                if not self._wins_dispute(target, known, now_s):
                    return STALE
                order_ms = max(known.target.order_ms, self._rival(target, known).target.order_ms)
                target = attrs.evolve(target, order_ms=order_ms + 1)
        return self.observe(target, now_s, now_s)

    @staticmethod
    def _contradicts(target: Target, known: Entry) -> bool:
        """Whether the record says that its target runs and the known record that it has ended."""
        if target.started_ms != known.target.started_ms:
            return target.order_ms <= known.target.order_ms
        record = known.target
        if record.state is not State.ENDED or record.has_certainly_ended:
            return False
        is_possible = (
            not record.has_drained if target.state is State.READY else record.end is End.AMBIGUOUS
        )
        return is_possible and target.sequence > record.sequence

    @staticmethod
    def _is_deregistered(target: Target, record: Target) -> bool:
        """Whether a record ended an incarnation by a deregistration of an unknown sender."""
        is_same = target.started_ms == record.started_ms
        return is_same and record.end in (End.AMBIGUOUS, End.UNATTRIBUTED)

    def _rival(self, target: Target, known: Entry) -> Entry:
        """Returns the entry that the announcing incarnation contradicts."""
        owner = self._entries.get(self._address_owners.get(target.address, ""), known)
        return known if owner.target.address != target.address else owner

    def _wins_dispute(self, target: Target, known: Entry, now_s: float) -> bool:
        """Counts an announcement that contradicts a later record; whether it is to be accepted.

        The announcements that a healed partition lets through arrive together, and a live target
        has announced itself again by then.
        """
        dispute = known.dispute
        if (
            dispute is None
            or dispute.started_ms != target.started_ms
            or now_s - dispute.last_s > self._silent_after_s
        ):
            known.dispute = Dispute(
                started_ms=target.started_ms,
                sequence=target.sequence,
                since_s=now_s,
                last_s=now_s,
            )
            return False
        if target.sequence <= dispute.sequence:
            return False
        dispute.sequence, dispute.last_s = target.sequence, now_s
        dispute.count += 1
        interval_s = self._silent_after_s / MISSED_ANNOUNCEMENTS
        span_s = now_s - dispute.since_s
        rival = self._rival(target, known)
        if rival is known and self._is_deregistered(target, known.target):
            # A target that gets no answer calls another control VM, so this announcement was sent
            # after the first one was answered, by a target that has not ended.
            return span_s >= HELD_SPAN_INTERVALS * interval_s
        is_repeated = dispute.count >= MISSED_ANNOUNCEMENTS and span_s >= interval_s
        return is_repeated and all(
            now_s - entry.heard_s > self._silent_after_s for entry in (known, rival)
        )

    def observe(self, target: Target, heard_s: float, now_s: float) -> Entry | errors.Nothing:
        """Registers or renews a target from a record, received directly or by gossip.

        Args:
            target: The announced record.
            heard_s: When the announcement was received, here or by another control VM.
            now_s: Current time.

        Returns:
            The entry, or ``STALE`` if the record is not newer than the known one.
        """
        known = self._entries.get(target.identity)
        if known is None:
            entry = Entry(target=target, heard_s=heard_s, has_restarted=bool(target.former_starts))
            self._entries[target.identity] = entry
            entry.is_silent = now_s - heard_s > self._silent_after_s
            self._mark_changed(entry)
            self._resolve_address_conflict(entry)
            return entry
        known.has_restarted |= target.started_ms != known.target.started_ms
        target = self._keep_own_end(self._restore_order(target, known.target), known.target)
        if not self._is_newer(target, known.target):
            if target.order == known.target.order:
                self._renew(known, heard_s, now_s)
            self._take_former_starts(known, target)
            return STALE
        target = self._restore_drain(target, known.target).with_former_starts(known.target)
        # All but the sequence, which each announcement changes.
        is_change = target.order[:-1] != known.target.order[:-1]
        is_moved = target.address != known.target.address or target.service != known.target.service
        is_cold_again = (
            target.warm_at_s > now_s and target.warm_at_s > known.target.warm_at_s + COLD_AGAIN_S
        )
        has_new_starts = target.former_starts != known.target.former_starts
        known.target = target
        known.dispute = None
        self._renew(known, heard_s, now_s)
        if is_cold_again or has_new_starts:
            self._mark_changed(known)
        if is_change or is_moved:
            self._mark_changed(known)
            self._resolve_address_conflict(known)
        return known

    @staticmethod
    def _restore_drain(target: Target, known: Target) -> Target:
        """Notes in the record of an end what the sender did not know, that it had drained."""
        has_drained = known.has_drained or known.state is State.DRAINING
        is_same = target.started_ms == known.started_ms
        if is_same and has_drained and target.state is State.ENDED and not target.has_drained:
            return attrs.evolve(target, has_drained=True)
        return target

    def _take_former_starts(self, known: Entry, older: Target) -> None:
        target = known.target.with_former_starts(older)
        if target is not known.target:
            known.target = target
            known.has_restarted = True
            self._mark_changed(known)

    @staticmethod
    def _restore_order(target: Target, known: Target) -> Target:
        """Gives a newer record of the known incarnation its order, if the sender has lost it.

        All control VMs may have restarted since the order was raised above the start time.
        """
        is_later = target.sequence >= known.sequence or target.has_certainly_ended
        is_same = target.started_ms == known.started_ms
        if is_same and is_later and target.order_ms < known.order_ms:
            return attrs.evolve(target, order_ms=known.order_ms)
        return target

    @staticmethod
    def _keep_own_end(target: Target, known: Target) -> Target:
        """Keeps the end that an incarnation announced itself; another VM may not know it yet."""
        is_same = target.started_ms == known.started_ms
        if is_same and known.has_certainly_ended and target.order_ms > known.order_ms:
            return attrs.evolve(known, order_ms=target.order_ms)
        return target

    @staticmethod
    def _is_newer(target: Target, known: Target) -> bool:
        """Compares two records; the state never decreases within an incarnation."""
        return target.order > known.order

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
        older, newer = sorted((owner, entry), key=lambda e: e.target.order_ms)
        if older.target.order_ms == newer.target.order_ms:
            older, newer = owner, entry
        self._address_owners[address] = newer.target.identity
        self._mark_ended(older, End.REPLACED)

    def _mark_ended(self, entry: Entry, end: End) -> None:
        has_drained = entry.target.has_drained or entry.target.state is State.DRAINING
        target = attrs.evolve(entry.target, state=State.ENDED, end=end, has_drained=has_drained)
        if target.order > entry.target.order:
            entry.target = target
            self._mark_changed(entry)

    def deregister(
        self, identity: str, now_s: float, sender_ms: int | None = None
    ) -> Entry | errors.Nothing:
        """Marks a target as ended at its own request, or at that of an unknown sender.

        Args:
            identity: The target's name.
            now_s: Current time.
            sender_ms: Start of the incarnation that sent the deregistration, or None if that is
                not known.

        Returns:
            The entry, ``unknown_target``, or ``STALE`` if another incarnation than the known one
            sent it, which changes nothing.
        """
        entry = self._entries.get(identity)
        if entry is None:
            return errors.Nothing(reason="unknown_target")
        if sender_ms is not None and sender_ms != entry.target.started_ms:
            return STALE
        entry.heard_s = now_s
        if sender_ms is not None:
            end = End.OWN_WORD
        elif entry.has_restarted:
            end = End.AMBIGUOUS
        else:
            end = End.UNATTRIBUTED
        self._mark_ended(entry, end)
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
