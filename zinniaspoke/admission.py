"""Admission of bulk flows to a narrow link: few at once, the others held at their openings.

An opening that is held costs the link nothing, where an open flow that is not served has its caller
repeat whole windows. See docs/design/urgency.md.
"""

import attrs

from zinniaspoke import bulk, counters, errors, pacing, rules, steering

# Time kept for the handshake before the caller's connection attempt times out.
HANDSHAKE_S = 0.2
# How often held openings are looked at while the link has bulk to carry.
LOOK_INTERVAL_S = 0.02
# The same while nothing of bulk waits; a look at all that may be held takes a millisecond.
IDLE_LOOK_INTERVAL_S = 0.005
# Their first windows alone take a link of 2 Mbit/s 16 s; more cannot be in time.
HELD_LIMIT = 200
# At most one line a second on a link that bulk waits for.
SUMMARY_INTERVAL_S = 1.0
# What callers send of an opening.
_ALL_COPIES = range(len(steering.RETRANSMIT_TIMES_S))

# Not final: the opening is held and forwarded later.
HELD = errors.Nothing(reason="held_for_link")
REFUSED_NO_ROOM = errors.Nothing(reason="refused_link_full")


@attrs.define(kw_only=True, slots=True, eq=False)
class _Held:
    """A held opening.

    Attributes:
        packet: Its newest copy.
        flow: What is known of its flow.
        held_s: When its first copy came.
        until_s: When it has to go on or be refused.
        copies: Which copies have come, by how often they had been sent before.
    """

    packet: steering.Packet
    flow: bulk.BulkFlow
    held_s: float
    until_s: float
    copies: set[int]

    @property
    def is_refusable(self) -> bool:
        """Whether no copy can have reached a target by another VM: all have come here."""
        return self.copies.issuperset(_ALL_COPIES)


class Admission:
    """Decides when openings of bulk rules are forwarded; does no I/O."""

    def __init__(self, *, pacer: pacing.Pacer, counts: counters.Counters) -> None:
        """Starts with nothing held.

        Args:
            pacer: What paces this VM's link.
            counts: Counters for openings held, refused and released.
        """
        self._pacer = pacer
        self._counts = counts
        self._held: dict[bytes, _Held] = {}
        self._looked_s = -1e9
        # When what the link carried was last told, and the counts at that time.
        self._told_s = 0.0
        self._told_bytes = (0, 0)

    def __len__(self) -> int:
        return len(self._held)

    def consider(
        self, packet: steering.Packet, rule: rules.Rule, now_s: float
    ) -> errors.Nothing | None:
        """Decides about a copy of an opening of a bulk rule.

        Args:
            packet: The opening.
            rule: Its rule.
            now_s: Current time.

        Returns:
            None if it is to be forwarded now, ``HELD``, or ``REFUSED_NO_ROOM``.
        """
        flows = self._pacer.bulk_flows
        if packet.flow in flows:
            return None
        held = self._held.get(packet.flow)
        if held is not None:
            held.packet = packet
            if packet.retransmit_count in _ALL_COPIES:
                held.copies.add(packet.retransmit_count)
            return HELD
        times_s = steering.RETRANSMIT_TIMES_S
        started_s = now_s - times_s[min(packet.retransmit_count, len(times_s) - 1)]
        flow = bulk.BulkFlow(key=packet.flow, rule=rule, started_s=started_s, active_s=now_s)
        # Another VM may have forwarded an earlier copy; a refusal has to be true.
        is_refusable = packet.retransmit_count == 0
        if is_refusable and (
            len(self._held) >= HELD_LIMIT or not self._can_make_deadline(flow, now_s)
        ):
            self._counts.events["bulk_openings_refused"] += 1
            return REFUSED_NO_ROOM
        if len(self._held) >= HELD_LIMIT:
            flows.add(packet.flow, rule, started_s, now_s)
            return None
        if not self._held and self._has_room(flow, now_s):
            flows.add(packet.flow, rule, started_s, now_s)
            return None
        until_s = started_s + steering.CONNECT_TIMEOUT_S - HANDSHAKE_S
        self._held[packet.flow] = _Held(
            packet=packet,
            flow=flow,
            held_s=now_s,
            until_s=until_s,
            copies={packet.retransmit_count},
        )
        self._counts.events["bulk_openings_held"] += 1
        return HELD

    def _can_make_deadline(self, flow: bulk.BulkFlow, now_s: float) -> bool:
        """Whether all bulk work known here, and this flow's, is done before its caller gives up."""
        flows = self._pacer.bulk_flows
        known = [*flows.active(now_s), *(held.flow for held in self._held.values())]
        work_bytes = sum(flows.remaining_bytes(other) for other in known if other is not flow)
        work_bytes += flows.remaining_bytes(flow)
        return now_s + work_bytes / self._pacer.bulk_bytes_per_s(now_s) <= flow.deadline_at_s

    def _has_room(self, flow: bulk.BulkFlow, now_s: float) -> bool:
        """Whether a flow's first window leaves before its caller repeats it."""
        return self._first_with_room([flow], now_s) is flow

    def _first_with_room(self, waiting: list[bulk.BulkFlow], now_s: float) -> bulk.BulkFlow | None:
        """Returns the first opening in the best order, if so little is ahead that it fits."""
        rate = self._pacer.bulk_bytes_per_s(now_s)
        flows = self._pacer.bulk_flows
        openings = {flow.key for flow in waiting}
        ahead_bytes = 0.0
        for flow in flows.order([*flows.active(now_s), *waiting], rate, now_s):
            if flow.key in openings:
                is_first = not ahead_bytes
                fits = ahead_bytes + bulk.WINDOW_BYTES <= rate * bulk.REPEAT_S
                return flow if is_first or fits else None
            ahead_bytes += flows.expected_bytes(flow)
        return None

    def take_released(self, now_s: float) -> tuple[list[steering.Packet], list[steering.Packet]]:
        """Returns held openings that go on now, and those that are refused.

        Args:
            now_s: Current time.

        Returns:
            Openings to be forwarded, and openings to be refused with ``REFUSED_NO_ROOM``.
        """
        released: list[steering.Packet] = []
        refused: list[steering.Packet] = []
        interval_s = LOOK_INTERVAL_S if self._pacer.bulk_bytes else IDLE_LOOK_INTERVAL_S
        if not self._held or now_s - self._looked_s < interval_s:
            return released, refused
        self._looked_s = now_s
        for key in [key for key, held in self._held.items() if held.until_s <= now_s]:
            held = self._held[key]
            if now_s - held.flow.started_s >= steering.CONNECT_TIMEOUT_S:
                # Its caller has timed out: this VM stood still or waited for an update.
                del self._held[key]
                self._counts.drops[steering.DROPPED_WAITED_TOO_LONG.reason] += 1
            elif not held.is_refusable or self._can_make_deadline(held.flow, now_s):
                released.append(self._release(key, now_s))
                self._counts.events["bulk_openings_released_late"] += 1
            else:
                refused.append(self._held.pop(key).packet)
                self._counts.events["bulk_openings_refused"] += 1
        while self._held:
            waiting = [held.flow for held in self._held.values()]
            flow = self._first_with_room(waiting, now_s)
            if flow is None:
                break
            released.append(self._release(flow.key, now_s))
        return released, refused

    def _release(self, key: bytes, now_s: float) -> steering.Packet:
        held = self._held.pop(key)
        self._pacer.bulk_flows.add(key, held.flow.rule, held.flow.started_s, now_s)
        self._counts.histograms["link_hold"].note(now_s - held.held_s)
        return held.packet

    def cancel(self, flow: bytes) -> None:
        """Forgets a held opening: its flow is open already, or its caller has closed or reset it.

        Args:
            flow: The flow's key.
        """
        self._held.pop(flow, None)

    def take_summary(self, now_s: float) -> str | None:
        """Describes how the link was shared since this was last asked, while bulk waits for it.

        Args:
            now_s: Current time.

        Returns:
            Text for the log, or None if there is nothing to tell yet.
        """
        elapsed_s = now_s - self._told_s
        if elapsed_s < SUMMARY_INTERVAL_S or not (self._held or self._pacer.bulk_bytes):
            return None
        events = self._counts.events
        sent = events["link_bytes_bulk"], events["link_bytes_short"]
        bulk_bytes, short_bytes = (
            new - old for new, old in zip(sent, self._told_bytes, strict=True)
        )
        self._told_s, self._told_bytes = now_s, sent
        return (
            f"{bulk_bytes} bytes of bulk and {short_bytes} others sent in {elapsed_s:.1f} s, "
            f"{self._pacer.bulk_bytes} bytes and {len(self._held)} openings of bulk wait"
        )
