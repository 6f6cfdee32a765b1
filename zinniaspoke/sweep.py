"""The sweep over a home's records in slices: expiry, classes, copies, homes that moved."""

from collections.abc import Callable

from zinniaspoke import (
    caller_path,
    copies,
    core_state,
    flows,
    placer,
)

SLICE_COUNT = 500
LEAVING_SLICE_COUNT = 4000


class Sweeper:
    """Looks at a slice of the records in each call, the oldest first."""

    def __init__(
        self,
        *,
        state: core_state.CoreState,
        copy_sender: copies.CopySender,
        caller_path: caller_path.CallerPath,
        set_idle_counts: Callable[[dict[int, flows.FlowCounts]], None],
    ) -> None:
        """Connects the sweeper.

        Args:
            state: What the parts of the core share.
            copy_sender: Takes flows that too few others remember.
            caller_path: Resets flows that were idle for too long.
            set_idle_counts: Takes the idle flows by target tag after each round.
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
            is_leaving: Whether this VM leaves, so that young flows need copies too.
        """
        self._is_leaving = is_leaving
        self._keys = []
        self._rounds = 0

    @property
    def is_complete(self) -> bool:
        """Whether a whole round was made since the restart."""
        return self._rounds >= 2

    def tick(self, now_s: float) -> None:
        """Looks at the next slice.

        Args:
            now_s: Current time.
        """
        if not self._keys:
            self._set_idle_counts(self._idle)
            self._idle = {}
            self._keys = self._records.keys()
            self._keys.reverse()
            self._rounds += 1
        count = LEAVING_SLICE_COUNT if self._is_leaving else SLICE_COUNT
        for key in self._keys[-count:]:
            record = self._records.get(key)
            if record is not None:
                self._look_at(record, now_s)
        del self._keys[-count:]

    def _look_at(self, record: flows.Flow, now_s: float) -> None:
        silent_s = now_s - record.seen_s
        if record.is_closed:
            if silent_s > flows.CLOSED_LINGER_S:
                self._records.discard(record.key)
            return
        self._guard(record, now_s)
        if self._members.home_id(record.key) != self._members.own.id:
            self._demote(record, now_s)
            return
        if silent_s > self._idle_limit_s(record):
            self._caller_path.reset_both_ends(record, "idle")
            return
        if not record.is_long and now_s - record.opened_s > placer.LONG_FLOW_AGE_S:
            self._records.mark_long(record)
        if not record.is_running(now_s):
            self._count_idle(record)

    def _demote(self, record: flows.Flow, now_s: float) -> None:
        """Keeps a witness of a flow whose home has moved; the new home finds it here."""
        sequence = record.caller_acknowledgment
        self._records.discard(record.key)
        self._witnesses.put(record.key, record.target, sequence, now_s)

    def _idle_limit_s(self, record: flows.Flow) -> float:
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

    def _guard(self, record: flows.Flow, now_s: float) -> None:
        """Offers a copy of a record that too few other VMs remember."""
        remembering = self._members.live_incarnation_ids(record.witness_incarnation_ids)
        if len(remembering) >= copies.REMEMBERED_COUNT or record.has_ended:
            return
        if now_s - record.opened_s < copies.COPY_AGE_S and not self._is_leaving:
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
                is_urgent=not remembering,
                incarnation_ids=tuple(remembering),
            )
        )
