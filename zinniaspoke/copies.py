"""Replication of flows to other entry VMs.

A home sends copies of those flows that fewer than MIN_HOLDER_COUNT live siblings hold. The receiver
keeps a copy as a witness, from which the flow's target can be recovered if the home fails.
"""

import itertools

import attrs

from zinniaspoke import (
    core_state,
    hashing,
    targets,
)
from zinniaspoke.proto import peer_pb2

MIN_COPY_AGE_S = 0.5
MIN_HOLDER_COUNT = 2
BUDGET_BYTES_PER_S = 4000.0
BURST_BYTES = 4000.0
COPIES_PER_BATCH = 30
RESEND_TIMEOUT_S = 1.0


@attrs.define(kw_only=True, slots=True)
class Copy:
    """The state of a flow that is sent to another VM.

    Attributes:
        flow: The flow's key.
        target: Its target.
        sequence: Sequence number that the target uses next; 0 for UDP.
        is_long: Whether the flow counts as long work.
        is_urgent: Whether no other live VM is known to hold the flow.
        holder_incarnation_ids: Incarnation ids of the VMs that already hold the flow.
    """

    flow: bytes
    target: targets.Target
    sequence: int
    is_long: bool
    is_urgent: bool
    holder_incarnation_ids: tuple[int, ...] = ()


@attrs.define(kw_only=True, slots=True)
class _Batch:
    holder_id: int
    copies: list[Copy]
    sent_s: float


class CopySender:
    """Sends copies of flows to siblings, and resends them until acknowledged.

    A flow is copied to the VM that becomes its home if its present home fails, or, if that VM holds
    the flow already, to the one after it.

    Copies are sent in batches, urgent ones first. A token bucket limits their traffic to
    BUDGET_BYTES_PER_S, with bursts of BURST_BYTES that the last batch may exceed.
    """

    def __init__(
        self,
        *,
        state: core_state.CoreState,
        now_s: float,
    ) -> None:
        """Creates a sender with empty queues and a full token bucket.

        Args:
            state: State shared by the components of the core.
            now_s: Current time.
        """
        self._members = state.members
        self._records = state.flow_table
        self._out = state.out
        self._counts = state.counts
        self._tokens_bytes = BURST_BYTES
        self._refilled_s = now_s
        self._urgent: dict[bytes, Copy] = {}
        self._normal: dict[bytes, Copy] = {}
        self._batches: dict[int, _Batch] = {}
        self._in_flight: set[bytes] = set()
        self._batch_id = 0

    @property
    def urgent_count(self) -> int:
        """Number of urgent copies that are queued or not yet acknowledged."""
        in_flight = (copy for batch in self._batches.values() for copy in batch.copies)
        return len(self._urgent) + sum(copy.is_urgent for copy in in_flight)

    def enqueue(self, copy: Copy) -> None:
        """Queues a copy, unless one of the same flow is in flight.

        An urgent copy replaces a queued copy of the same flow that is not urgent, never the
        reverse.

        Args:
            copy: The copy to send.
        """
        if copy.flow in self._in_flight:
            return
        if copy.is_urgent:
            self._normal.pop(copy.flow, None)
            self._urgent[copy.flow] = copy
        elif copy.flow not in self._urgent:
            self._normal[copy.flow] = copy

    def discard(self, flow: bytes) -> None:
        """Removes a flow's queued copy, for example because another VM has recovered the flow.

        Args:
            flow: The flow's key.
        """
        self._urgent.pop(flow, None)
        self._normal.pop(flow, None)

    def tick(self, now_s: float) -> None:
        """Requeues copies not acknowledged within RESEND_TIMEOUT_S, and sends as the budget allows.

        Args:
            now_s: Current time.
        """
        self._refill(now_s)
        self._resend(now_s)
        for pending in (self._urgent, self._normal):
            while pending and self._tokens_bytes > 0:
                if not self._send_batch(pending, now_s):
                    break

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = now_s
        refill_bytes = elapsed_s * BUDGET_BYTES_PER_S
        self._tokens_bytes = min(BURST_BYTES, self._tokens_bytes + refill_bytes)

    def _resend(self, now_s: float) -> None:
        overdue = [i for i, b in self._batches.items() if now_s - b.sent_s >= RESEND_TIMEOUT_S]
        for batch_id in overdue:
            batch = self._batches.pop(batch_id)
            for copy in batch.copies:
                self._in_flight.discard(copy.flow)
                (self._urgent if copy.is_urgent else self._normal)[copy.flow] = copy

    def _send_batch(self, pending: dict[bytes, Copy], now_s: float) -> bool:
        """Sends one batch of the oldest copies that are for the same VM.

        Among the VMs that the oldest copies are for, it chooses the one with the most copies.
        Copies that no further VM can take are removed.

        Returns:
            Whether a batch was sent.
        """
        by_holder: dict[int, list[Copy]] = {}
        for copy in list(itertools.islice(pending.values(), 4 * COPIES_PER_BATCH)):
            holder_id = self._next_holder_id(copy)
            if holder_id is None:
                del pending[copy.flow]
            else:
                by_holder.setdefault(holder_id, []).append(copy)
        if not by_holder:
            return False
        holder_id, copies = max(by_holder.items(), key=lambda item: len(item[1]))
        self._transmit(holder_id, copies[:COPIES_PER_BATCH], now_s)
        return True

    def _next_holder_id(self, copy: Copy) -> int | None:
        """Returns the first VM in the flow's order of homes that does not hold the flow yet."""
        members = self._members
        order = hashing.SlotTable.order(copy.flow, members.serving_ids)
        for member_id in order:
            is_own = member_id == members.own.id
            if (
                not is_own
                and members.incarnation_id_of(member_id) not in copy.holder_incarnation_ids
            ):
                return member_id
        return None

    def _transmit(self, holder_id: int, copies: list[Copy], now_s: float) -> None:
        self._batch_id = (self._batch_id + 1) & 0xFFFFFFFF
        body = peer_pb2.CopyBatch(
            batch_id=self._batch_id,
            copies=[
                peer_pb2.FlowCopy(
                    flow=copy.flow,
                    target_tag=copy.target.tag,
                    sequence=copy.sequence,
                    is_long=copy.is_long,
                )
                for copy in copies
            ],
        )
        self._tokens_bytes -= self._out.send_control(holder_id, peer_pb2.Datagram(copy_batch=body))
        self._batches[self._batch_id] = _Batch(holder_id=holder_id, copies=copies, sent_s=now_s)
        self._counts.events["copies_sent"] += len(copies)
        for copy in copies:
            self.discard(copy.flow)
            self._in_flight.add(copy.flow)

    def acknowledge(self, sender_id: int, batch_id: int) -> None:
        """Handles the acknowledgment of a batch, and adds the sender to the holders of its flows.

        Args:
            sender_id: The member that acknowledged the batch.
            batch_id: The batch's id.
        """
        batch = self._batches.get(batch_id)
        if batch is None or batch.holder_id != sender_id:
            return
        del self._batches[batch_id]
        for copy in batch.copies:
            self._in_flight.discard(copy.flow)
            record = self._records.get(copy.flow)
            if record is not None:
                incarnation_id = self._members.incarnation_id_of(sender_id)
                record.witness_incarnation_ids = (
                    *record.witness_incarnation_ids[-3:],
                    incarnation_id,
                )
