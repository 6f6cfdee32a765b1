"""Copies of flows that no live witness knows, paced within the control budget."""

import itertools

import attrs

from zinniaspoke import (
    core_state,
    hashing,
    targets,
)
from zinniaspoke.proto import peer_pb2

COPY_AGE_S = 0.5
REMEMBERED_COUNT = 2
BUDGET_BYTES_PER_S = 4000.0
BURST_BYTES = 4000.0
BATCH_COUNT = 30
RESEND_S = 1.0


@attrs.define(kw_only=True, slots=True)
class Copy:
    """A flow to copy.

    Attributes:
        flow: The flow's key.
        target: Its target.
        sequence: Sequence number that the target will use next; 0 for UDP.
        is_long: Whether its work counts as long.
        is_urgent: Whether no other VM is known to remember the flow.
        incarnation_ids: Incarnation ids of VMs that remember it already.
    """

    flow: bytes
    target: targets.Target
    sequence: int
    is_long: bool
    is_urgent: bool
    incarnation_ids: tuple[int, ...] = ()


@attrs.define(kw_only=True, slots=True)
class _Batch:
    holder_id: int
    copies: list[Copy]
    sent_s: float


class CopySender:
    """Sends copies to the VMs that take over next, and repeats them until acknowledged."""

    def __init__(
        self,
        *,
        state: core_state.CoreState,
        now_s: float,
    ) -> None:
        """Connects the sender.

        Args:
            state: What the parts of the core share.
            now_s: Current time.
        """
        self._members = state.members
        self._records = state.flow_table
        self._out = state.out
        self._counts = state.counts
        self._tokens_bytes = BURST_BYTES
        self._filled_s = now_s
        self._urgent: dict[bytes, Copy] = {}
        self._spare: dict[bytes, Copy] = {}
        self._batches: dict[int, _Batch] = {}
        self._sent: set[bytes] = set()
        self._batch_id = 0

    @property
    def urgent_count(self) -> int:
        """Urgent copies that are queued or not acknowledged."""
        sent = (copy for batch in self._batches.values() for copy in batch.copies)
        return len(self._urgent) + sum(copy.is_urgent for copy in sent)

    def enqueue(self, copy: Copy) -> None:
        """Queues a copy, unless it is queued or on its way.

        Args:
            copy: The flow to copy.
        """
        if copy.flow in self._sent:
            return
        if copy.is_urgent:
            self._spare.pop(copy.flow, None)
            self._urgent[copy.flow] = copy
        elif copy.flow not in self._urgent:
            self._spare[copy.flow] = copy

    def discard(self, flow: bytes) -> None:
        """Drops a queued copy because another VM has adopted the flow.

        Args:
            flow: The flow's key.
        """
        self._urgent.pop(flow, None)
        self._spare.pop(flow, None)

    def tick(self, now_s: float) -> None:
        """Sends what the budget allows.

        Args:
            now_s: Current time.
        """
        self._refill(now_s)
        self._resend(now_s)
        for pending in (self._urgent, self._spare):
            while pending and self._tokens_bytes > 0:
                if not self._send_batch(pending, now_s):
                    break

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        refill_bytes = elapsed_s * BUDGET_BYTES_PER_S
        self._tokens_bytes = min(BURST_BYTES, self._tokens_bytes + refill_bytes)

    def _resend(self, now_s: float) -> None:
        late = [i for i, b in self._batches.items() if now_s - b.sent_s >= RESEND_S]
        for batch_id in late:
            batch = self._batches.pop(batch_id)
            for copy in batch.copies:
                self._sent.discard(copy.flow)
                (self._urgent if copy.is_urgent else self._spare)[copy.flow] = copy

    def _send_batch(self, pending: dict[bytes, Copy], now_s: float) -> bool:
        """Sends one batch to the holder of most of the oldest copies."""
        by_holder: dict[int, list[Copy]] = {}
        for copy in list(itertools.islice(pending.values(), 4 * BATCH_COUNT)):
            holder_id = self._holder_id(copy)
            if holder_id is None:
                del pending[copy.flow]
            else:
                by_holder.setdefault(holder_id, []).append(copy)
        if not by_holder:
            return False
        holder_id, copies = max(by_holder.items(), key=lambda item: len(item[1]))
        self._transmit(holder_id, copies[:BATCH_COUNT], now_s)
        return True

    def _holder_id(self, copy: Copy) -> int | None:
        """Returns the first in the order of homes that does not remember the flow yet."""
        members = self._members
        order = hashing.SlotTable.order(copy.flow, members.serving_ids)
        for member_id in order:
            is_own = member_id == members.own.id
            if not is_own and members.incarnation_id_of(member_id) not in copy.incarnation_ids:
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
            self._sent.add(copy.flow)

    def acknowledge(self, sender_id: int, batch_id: int) -> None:
        """Notes that a batch is held.

        Args:
            sender_id: Who holds it.
            batch_id: Which batch.
        """
        batch = self._batches.get(batch_id)
        if batch is None or batch.holder_id != sender_id:
            return
        del self._batches[batch_id]
        for copy in batch.copies:
            self._sent.discard(copy.flow)
            record = self._records.get(copy.flow)
            if record is not None:
                incarnation_id = self._members.incarnation_id_of(sender_id)
                record.witness_incarnation_ids = (
                    *record.witness_incarnation_ids[-3:],
                    incarnation_id,
                )
