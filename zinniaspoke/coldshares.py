"""Shares of the limit on openings to cold targets, leased by the leading control VM.

The design and the proof of the bound are in docs/design/cold-targets.md. Times on both sides are on
clocks that count suspended time; they are never compared with each other.
"""

import collections
import struct
from collections.abc import Iterator
from typing import Protocol

import attrs

from zinniaspoke import counters, errors, hashing, roster, rulebook, rules

# A share ends this long after its request was stamped by the entry VM that asked.
LEASE_S = 1.0
REQUEST_INTERVAL_S = LEASE_S / 2
# From the decision on an opening to its sending at the latest, see ``pacing``; and its way.
SEND_LIMIT_S = 0.2
TRANSIT_LIMIT_S = 0.1
# Any span of one second in which openings arrive is decided in less than this.
WINDOW_S = 1.0 + SEND_LIMIT_S + TRANSIT_LIMIT_S
# Two clocks may run apart by this much over a lease and a window.
CLOCK_SLACK_S = 0.1
# How long a leader may go on giving after a majority last followed it: a reply on its way until
# its link is given up, in the replica's queue, valid for an election timeout, and a view's age.
VIEW_AGE_LIMIT_S = 0.3
FORMER_LEADER_S = 3.0
LEADER_WAIT_S = FORMER_LEADER_S + LEASE_S + WINDOW_S + CLOCK_SLACK_S
# A leader that was not looked at for this long may have stood still while another one led.
STANDSTILL_S = 0.3
# Entry VMs among which a target's limit is divided. More of them use more of it, but a share of
# one is lost on a VM without an opening at that moment.
HOLDER_COUNT_MAX = 16
SHARE_MIN = 2
# Two announcements and their way, after which a target's record is newer than the end of its zone's
# evacuation.
DISTRUST_INTERVALS = 2
DISTRUST_SLACK_S = 0.5
# A request names at most this many targets; the rest are asked for next time.
TOKEN_COUNT_MAX = 1000

# Stamp and number of the process that asks; the answer repeats them.
_HEAD = struct.Struct("!dI")
_TOKEN = struct.Struct("!I")
_SHARE = struct.Struct("!IH")
_SHARE_MAX = 0xFFFF


def limit_of(options: rules.ServiceOptions | None, overage: float | None, slack: float) -> int:
    """Returns the openings a second that all entry VMs together may send to a cold target.

    Args:
        options: What the rules say of its service.
        overage: Factor on what it bears; None for no limit.
        slack: Openings a second beyond that.

    Returns:
        The limit, rounded down; -1 for no limit.
    """
    if options is None or options.cold_per_s is None or overage is None:
        return -1
    return int(options.cold_per_s * overage + slack)


def split(limit: int, candidate_count: int) -> list[int]:
    """Divides a limit; the parts add up to it exactly.

    Args:
        limit: The limit.
        candidate_count: Number of entry VMs that may hold a part.

    Returns:
        The parts, largest first; none for a limit of 0.
    """
    if limit <= 0 or candidate_count <= 0:
        return []
    count = max(1, min(HOLDER_COUNT_MAX, candidate_count, limit // SHARE_MIN))
    base, rest = divmod(limit, count)
    return [base + (rank < rest) for rank in range(count)]


class View(Protocol):
    """What a holder needs to know of rules and targets; see ``subscription.Subscription``."""

    rules: rulebook.RuleBook
    targets: roster.Roster
    returned_s: dict[str, float]
    revision: int


@attrs.define(kw_only=True, slots=True)
class _Lease:
    stamp_s: float
    share: int

    def is_valid(self, now_s: float) -> bool:
        return self.stamp_s <= now_s < self.stamp_s + LEASE_S


class Holder:
    """An entry VM's shares and the openings that it charged to them.

    Attributes:
        distrust_s: After the end of its zone's evacuation a target counts as cold for this long.
        counters: Counts of this process.
    """

    def __init__(
        self,
        *,
        view: View,
        incarnation: int,
        announcement_interval_s: float,
        counts: counters.Counters | None = None,
    ) -> None:
        """Starts without shares.

        Args:
            view: Rules and targets that this VM knows.
            incarnation: Number of this process, 32 bits; another one after a restart.
            announcement_interval_s: How often targets announce themselves.
            counts: Counters of this process; None for fresh ones.
        """
        self.distrust_s = DISTRUST_INTERVALS * announcement_interval_s + DISTRUST_SLACK_S
        self.counters = counters.Counters() if counts is None else counts
        self._view = view
        self._incarnation = incarnation
        self._leases: dict[int, _Lease] = {}
        self._charged: dict[int, collections.deque[float]] = {}
        self._requested_s = -1e9
        self._scanned: tuple[int, tuple[float, ...]] | None = None
        self._cold: list[roster.Target] = []

    def is_limited(self, target: roster.Target, now_s: float) -> bool:
        """Whether a target may be opened to only under a share.

        Args:
            target: The target.
            now_s: Current time.
        """
        returned_s = self._view.returned_s.get(target.zone, -1e9)
        if now_s >= target.warm_at_s and now_s >= returned_s + self.distrust_s:
            return False
        options = self._view.rules.current.service_options.get(target.service)
        return options is not None and options.cold_per_s is not None

    def has_limited(self, now_s: float) -> bool:
        """Whether any target is limited now; quick while none is.

        Args:
            now_s: Current time.
        """
        # All targets are looked at only after a change.
        scanned = self._view.revision, tuple(self._view.returned_s.values())
        if scanned != self._scanned:
            self._scanned = scanned
            entries = self._view.targets.entries()
            self._cold = [e.target for e in entries if e.target.state is roster.State.READY]
        if self._cold:
            self._cold = [target for target in self._cold if self.is_limited(target, now_s)]
        return bool(self._cold)

    def has_room(self, target: roster.Target, now_s: float) -> bool:
        """Whether one more opening may be sent to a target now.

        Args:
            target: The target.
            now_s: Current time.
        """
        if not self.is_limited(target, now_s):
            return True
        return self._share_has_room(target, now_s)

    def _share_has_room(self, target: roster.Target, now_s: float) -> bool:
        lease = self._leases.get(target.token)
        if lease is None or not lease.is_valid(now_s):
            return False
        return len(self._recent(target.token, now_s)) < lease.share

    def charge(self, target: roster.Target, now_s: float) -> bool:
        """Charges an opening to the share, if it may be sent.

        Args:
            target: The target.
            now_s: Current time.

        Returns:
            Whether it may be sent. True without a charge if the target is not limited.
        """
        if not self.is_limited(target, now_s):
            return True
        if not self._share_has_room(target, now_s):
            self.counters.events["cold_copies_refused"] += 1
            return False
        self.counters.events["cold_openings"] += 1
        self._charged.setdefault(target.token, collections.deque()).append(now_s)
        return True

    def _recent(self, token: int, now_s: float) -> collections.deque[float]:
        """Returns the times of the openings that may arrive within a second of one decided now."""
        times_s = self._charged.get(token) or collections.deque()
        while times_s and times_s[0] < now_s - WINDOW_S:
            times_s.popleft()
        return times_s

    def shares_in_use(self, now_s: float) -> int:
        """Returns the sum of the valid shares.

        Args:
            now_s: Current time.
        """
        return sum(lease.share for lease in self._leases.values() if lease.is_valid(now_s))

    def take_request(self, now_s: float) -> bytes | None:
        """Returns a request for shares if one is due.

        Args:
            now_s: Current time.

        Returns:
            The request, or None while no limited target is known.
        """
        if now_s - self._requested_s < REQUEST_INTERVAL_S:
            return None
        if not self.has_limited(now_s):
            return None
        self._requested_s = now_s
        self._forget_expired(now_s)
        tokens = [_TOKEN.pack(target.token) for target in self._cold[:TOKEN_COUNT_MAX]]
        return _HEAD.pack(now_s, self._incarnation) + b"".join(tokens)

    def _forget_expired(self, now_s: float) -> None:
        self._leases = {t: lease for t, lease in self._leases.items() if lease.is_valid(now_s)}
        self._charged = {t: q for t in self._charged if (q := self._recent(t, now_s))}

    def take_grant(self, payload: bytes, now_s: float) -> None:
        """Takes the answer to a request; a later answer to an earlier request changes nothing.

        Args:
            payload: The answer.
            now_s: Current time.

        Raises:
            errors.DatagramError: It is not an answer.
        """
        stamp_s, incarnation = _unpack(_HEAD, payload[: _HEAD.size])
        if incarnation != self._incarnation:
            return
        for token, share in _rows(_SHARE, payload[_HEAD.size :]):
            lease = _Lease(stamp_s=stamp_s, share=share)
            known = self._leases.get(token)
            if lease.is_valid(now_s) and (known is None or known.stamp_s < stamp_s):
                self._leases[token] = lease


@attrs.define(kw_only=True, slots=True)
class _Given:
    share: int
    until_s: float


class Granter:
    """Gives shares while this control VM leads; keeps what is out in memory."""

    def __init__(self, *, targets: roster.Roster, overage: float | None, slack: float) -> None:
        """Starts without leadership.

        Args:
            targets: The targets that this VM knows.
            overage: Factor on what a cold target bears; None for no limits and no shares.
            slack: Openings a second beyond that.
        """
        self._targets = targets
        self._overage = overage
        self._slack = slack
        self._term = -1
        self._leads_since_s: float | None = None
        self._looked_s = -1e9
        # What is out, by token and by name and incarnation of the entry VM.
        self._given: dict[int, dict[tuple[str, int], _Given]] = {}
        self._zones: dict[str, str] = {}
        self._first: dict[tuple[int, int], list[str]] = {}
        self._by_token: dict[int, roster.Target] = {}
        self._indexed_revision = -1
        self._content = b""
        self._options: dict[str, rules.ServiceOptions] = {}

    def set_candidates(self, zones: dict[str, str]) -> None:
        """Replaces the entry VMs among which shares are divided.

        Args:
            zones: Availability zones of the entry VMs that are connected and in rotation, by name.
        """
        if zones != self._zones:
            self._zones = zones
            self._first.clear()

    def look(self, *, leads: bool, term: int, now_s: float) -> None:
        """Takes note of the replica's state; called several times in ``STANDSTILL_S``.

        Args:
            leads: Whether it leads and a majority followed it a moment ago.
            term: Its term.
            now_s: Current time.
        """
        has_stood_still = now_s - self._looked_s > STANDSTILL_S
        self._looked_s = now_s
        if not leads:
            self._leads_since_s = None
        elif self._leads_since_s is None or term != self._term or has_stood_still:
            self._leads_since_s = now_s
        self._term = term
        for token, given in list(self._given.items()):
            for holder in [h for h, g in given.items() if g.until_s <= now_s]:
                del given[holder]
            if not given:
                del self._given[token]

    def may_give(self, now_s: float) -> bool:
        """Whether shares of an earlier leader have run out, and this VM leads.

        Args:
            now_s: Current time.
        """
        return self._leads_since_s is not None and now_s - self._leads_since_s >= LEADER_WAIT_S

    def shares_out(self, token: int, now_s: float) -> int:
        """Returns the sum of a target's shares that count as out.

        Args:
            token: The target's token.
            now_s: Current time.
        """
        return sum(g.share for g in self._given.get(token, {}).values() if g.until_s > now_s)

    def answer(self, payload: bytes, name: str, content: bytes, now_s: float) -> bytes | None:
        """Answers a request for shares.

        Args:
            payload: The request.
            name: The entry VM that sent it.
            content: The rule file in force.
            now_s: Time of its receipt.

        Returns:
            The answer, or None where there is no share to give.

        Raises:
            errors.DatagramError: It is not a request.
        """
        stamp_s, incarnation = _unpack(_HEAD, payload[: _HEAD.size])
        tokens = [token for (token,) in _rows(_TOKEN, payload[_HEAD.size :])]
        if not self.may_give(now_s):
            return None
        self._refresh(content)
        rows = []
        for token in tokens:
            share = self._give(token, (name, incarnation), now_s)
            if share:
                rows.append(_SHARE.pack(token, share))
        return _HEAD.pack(stamp_s, incarnation) + b"".join(rows) if rows else None

    def _refresh(self, content: bytes) -> None:
        if content != self._content:
            self._options = rules.parse_services(content)
            self._content = content
        if self._targets.revision != self._indexed_revision:
            self._indexed_revision = self._targets.revision
            self._by_token = {e.target.token: e.target for e in self._targets.entries()}
            self._first = {
                key: first for key, first in self._first.items() if key[0] in self._by_token
            }

    def _give(self, token: int, holder: tuple[str, int], now_s: float) -> int:
        """Returns the share that a holder is given, 0 for none; the share then counts as out."""
        target = self._by_token.get(token)
        if target is None:
            return 0
        limit = limit_of(self._options.get(target.service), self._overage, self._slack)
        given = self._given.setdefault(token, {})
        taken = sum(g.share for h, g in given.items() if h != holder and g.until_s > now_s)
        known = given.get(holder)
        if known is not None and known.until_s > now_s:
            # It keeps its share as long as it asks, also when others come first by now.
            share = min(known.share, limit - taken)
        else:
            share = min(self._share_of(target, holder[0], limit), limit - taken)
        share = min(share, _SHARE_MAX)
        if share <= 0:
            return 0
        until_s = now_s + LEASE_S + WINDOW_S + CLOCK_SLACK_S
        # A smaller share than before: the larger one may be in use until it expires.
        counted = max(share, known.share) if known is not None and known.until_s > now_s else share
        given[holder] = _Given(share=counted, until_s=until_s)
        return share

    def _share_of(self, target: roster.Target, name: str, limit: int) -> int:
        parts = split(limit, len(self._zones))
        if not parts or name not in self._zones:
            return 0
        key = target.token, len(parts)
        first = self._first.get(key)
        if first is None:
            first = self._first[key] = self._order(target)[: len(parts)]
        return parts[first.index(name)] if name in first else 0

    def _order(self, target: roster.Target) -> list[str]:
        """Returns all candidates: those of the target's zone first, then by rendezvous order."""
        key = _TOKEN.pack(target.token)

        def place(name: str) -> tuple[bool, int, str]:
            weight = hashing.weight(key, hashing.short_hash(name.encode()))
            return self._zones[name] == target.zone, weight, name

        return sorted(self._zones, key=place, reverse=True)


def _unpack(form: struct.Struct, data: bytes) -> tuple:
    try:
        return form.unpack(data)
    except struct.error as error:
        raise _error(str(error)) from error


def _rows(form: struct.Struct, data: bytes) -> Iterator[tuple]:
    if len(data) % form.size:
        raise _error(f"{len(data)} bytes are not rows of {form.size}")
    return form.iter_unpack(data)


def _error(reason: str) -> errors.DatagramError:
    return errors.DatagramError(step="decode shares", peer="", reason=reason)
