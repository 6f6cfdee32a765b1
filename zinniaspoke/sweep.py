"""Periodic sweep of the flow table in slices: expiry, reclassification, replication, hand-over."""

from collections.abc import Callable

from zinniaspoke import (
    caller_path,
    copies,
    core_state,
    flows,
    placer,
)

RECORDS_PER_SLICE = 500
RECORDS_PER_LEAVING_SLICE = 4000


class Sweeper:
    """Checks a slice of the flow table in each call, the oldest records first."""

    def __init__(
        self,
        *,
        state: core_state.CoreState,
        copy_sender: copies.CopySender,
        caller_path: caller_path.CallerPath,
        set_idle_counts: Callable[[dict[int, flows.FlowCounts]], None],
    ) -> None:
        """Creates a sweeper that starts with a new round.

        Args:
            state: State shared by the components of the core.
            copy_sender: Receives copies of flows that too few other VMs hold.
            caller_path: Resets flows that exceeded their idle time-out.
            set_idle_counts: Called at the end of each round with the numbers of flows without a
                request in progress, by target tag.
        """
        self._members = state.members
        self._table = state.target_table
        self._book = state.rule_book
        self._records = state.flow_table
        self._witnesses = state.witnesses
        self._copy_sender = copy_sender
        self._caller_path = caller_path
        self._set_idle_counts = set_idle_counts
        self._is_leaving = False
        self._keys: list[bytes] = []
        self._rounds = 0
        self._idle: dict[int, flows.FlowCounts] = {}

    def restart(self, *, is_leaving: bool) -> None:
        """Starts a new round over all records.

        Args:
            is_leaving: Whether this VM is leaving. The sweep then uses larger slices and also
                copies flows younger than MIN_COPY_AGE_S.
        """
        self._is_leaving = is_leaving
        self._keys = []
        self._rounds = 0

    @property
    def is_complete(self) -> bool:
        """Whether a whole round has been finished since the last restart.

        Rounds are counted when they start, so a count of two means that one is finished.
        """
        return self._rounds >= 2

    def tick(self, now_s: float) -> None:
        """Checks the next slice, and starts a new round when the last one is finished.

        Args:
            now_s: Current time.
        """
        if not self._keys:
            self._set_idle_counts(self._idle)
            self._idle = {}
            self._keys = self._records.keys()
            self._keys.reverse()
            self._rounds += 1
        count = RECORDS_PER_LEAVING_SLICE if self._is_leaving else RECORDS_PER_SLICE
        for key in self._keys[-count:]:
            record = self._records.get(key)
            if record is not None:
                self._check_record(record, now_s)
        del self._keys[-count:]

    def _check_record(self, record: flows.Flow, now_s: float) -> None:
        idle_time_s = now_s - record.seen_s
        if record.is_closed:
            if idle_time_s > flows.CLOSED_RETENTION_S:
                self._records.discard(record.key)
            return
        self._replicate_if_needed(record, now_s)
        if self._members.home_id(record.key) != self._members.own.id:
            self._demote_to_witness(record, now_s)
            return
        if idle_time_s > self._idle_limit_s(record):
            self._caller_path.reset_both_ends(record, "idle")
            return
        if not record.is_long and now_s - record.opened_s > placer.LONG_FLOW_AGE_S:
            self._records.mark_long(record)
        if not record.is_active(now_s):
            self._count_idle(record)

    def _demote_to_witness(self, record: flows.Flow, now_s: float) -> None:
        """Replaces a record by a witness, because another VM has become the flow's home.

        The new home can recover the flow's target from the witness.
        """
        sequence = record.caller_acknowledgment
        self._records.discard(record.key)
        self._witnesses.put(record.key, record.target, sequence, now_s)

    def _idle_limit_s(self, record: flows.Flow) -> float:
        # Key: protocol (1 byte), caller address and port (2 bytes), service address and port.
        size = (len(record.key) - 5) // 2
        address, port = record.key[3 + size : 3 + 2 * size], record.key[3 + 2 * size :]
        rule = self._book.find(record.key[0], address, port)
        return rule.idle_s if rule else 900.0

    def _count_idle(self, record: flows.Flow) -> None:
        count = self._idle.setdefault(record.target.tag, flows.FlowCounts())
        if record.is_long:
            count.long_count += 1
        else:
            count.short_count += 1

    def _replicate_if_needed(self, record: flows.Flow, now_s: float) -> None:
        """Queues a copy of a flow that too few other live VMs hold.

        A flow whose target is its base target, the first in rendezvous order, needs no copy, since
        a new home computes that target from the flow's key.
        """
        holders = self._members.live_incarnation_ids(record.witness_incarnation_ids)
        if len(holders) >= copies.MIN_HOLDER_COUNT or record.has_ended:
            return
        if now_s - record.opened_s < copies.MIN_COPY_AGE_S and not self._is_leaving:
            return
        base = self._table.base_target(record.key, record.target.service, now_s)
        if base and base.tag == record.target.tag:
            return
        self._copy_sender.enqueue(
            copies.Copy(
                flow=record.key,
                target=record.target,
                sequence=record.caller_acknowledgment,
                is_long=record.is_long,
                is_urgent=not holders,
                holder_incarnation_ids=tuple(holders),
            )
        )
