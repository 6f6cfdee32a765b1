"""Calls of operators at a control VM, and how they reach the leader's replica and come back."""

import asyncio
import random
from collections.abc import Callable

import attrs

from zinniaspoke import consensus, control, counters
from zinniaspoke.adapters import links, replica_thread
from zinniaspoke.daemons import lean
from zinniaspoke.proto import control_pb2

# Callers turn to another control VM after a second without an answer.
CALL_LIMIT_S = 0.85
CALL_RETRY_S = 0.04
# A caller that turned elsewhere may give the opposite order next, so a copy of an order must not be
# taken any more by then: it may have waited for a standing event loop, and then for its answer.
ORDER_LIMIT_S = 0.6
STALL_S = 0.4
# After such a stall, calls that arrived meanwhile are read for at most this long.
STALL_READ_S = 0.5
_FINAL = (control_pb2.SUBMIT_OUTCOME_YES, control_pb2.SUBMIT_OUTCOME_NO)


@attrs.frozen(kw_only=True, eq=False)
class Caller:
    """Whoever waits for an answer: a call to this VM, or another control VM that passed one on.

    Attributes:
        waiting: The call to this VM, or None.
        link: Where the answer goes, or None.
        ticket: The other control VM's ticket.
        order: The zone order that the call gives, or None.
    """

    waiting: asyncio.Future[control_pb2.CallReply | None] | None = None
    link: links.Link | None = None
    ticket: int = 0
    order: control_pb2.ZoneOrder | None = None


class Calls:
    """Calls that wait for an answer.

    Attributes:
        open_count: Calls to this VM that wait.
        process: Random number of this process.
    """

    def __init__(
        self,
        *,
        view: Callable[[], control.View],
        enter: Callable[[control.Command | None, Caller, float | None], None],
        send: Callable[[str, control_pb2.Call], bool],
        counted: counters.Counters,
        now_s: float,
    ) -> None:
        """Starts without calls.

        Args:
            view: Returns what this VM's replica last published.
            enter: Hands a command to this VM's replica; see ``replica_thread.ReplicaThread.enter``.
            send: Sends a call to another control VM; returns whether a connection took it.
            counted: Counts of this process.
            now_s: Current time.
        """
        self._view = view
        self._enter = enter
        self._send = send
        self._counted = counted
        self.open_count = 0
        # Whoever waits for an answer of this VM's replica, by ticket.
        self._waiting: dict[int, Caller] = {}
        self._remote: dict[int, asyncio.Future[control_pb2.CallReply | None]] = {}
        self._next_ticket = 0
        # Tells this process from an earlier one whose clock another control VM may have asked for.
        self.process = random.getrandbits(64)
        self._ticked_s = now_s
        self._stalled_s = -1e9

    def tick(self, now_s: float) -> None:
        """Notices when the event loop has stood still; called every few hundredths of a second.

        Args:
            now_s: Current time.
        """
        if now_s - self._ticked_s > STALL_S:
            self._stalled_s = now_s
        self._ticked_s = now_s

    # From operators

    async def call(self, file: control_pb2.RuleFile | None) -> control_pb2.CallReply | None:
        """Submits a rule file or reads the one in force, through the leader.

        Args:
            file: The file, or None to read.

        Returns:
            The answer, or None where nothing certain can be said in time.
        """
        name = "read" if file is None else "submit"
        return await self._call(file, name, lean.now_s() + CALL_LIMIT_S)

    async def order(self, order: control_pb2.ZoneOrder) -> control_pb2.CallReply | None:
        """Gives a zone order, through the leader.

        Args:
            order: The order.

        Returns:
            The answer, or None where nothing certain can be said in time.
        """
        now_s = lean.now_s()
        if now_s - self._ticked_s > STALL_S or now_s - self._stalled_s < STALL_READ_S:
            self._counted.events["orders_after_stall"] += 1
            return None
        return await self._call(order, "order", now_s + ORDER_LIMIT_S)

    async def _call(
        self, command: control.Command | None, name: str, deadline_s: float
    ) -> control_pb2.CallReply | None:
        started_s = lean.now_s()
        self.open_count += 1
        try:
            answer = await self._call_until(command, deadline_s)
        finally:
            self.open_count -= 1
        self._counted.histograms[name].note(lean.now_s() - started_s)
        self._counted.events[f"{name}_{'unsure' if answer is None else 'answered'}"] += 1
        return answer

    async def _call_until(
        self, command: control.Command | None, deadline_s: float
    ) -> control_pb2.CallReply | None:
        while lean.now_s() < deadline_s:
            if isinstance(command, control_pb2.ZoneOrder):
                answer = await self._try_order(command, deadline_s)
            else:
                call = control_pb2.Call(file=command)
                answer = await self._wait(self._start_call(command, call), deadline_s)
            if answer is not None and answer.reply.outcome in _FINAL:
                return answer
            await asyncio.sleep(CALL_RETRY_S)
        return None

    async def _try_order(
        self, order: control_pb2.ZoneOrder, deadline_s: float
    ) -> control_pb2.CallReply | None:
        """Gives an order once; the leader learns on its own clock how long it may be proposed."""
        call = control_pb2.Call(order=order)
        if self._view().role is not consensus.Role.LEADER:
            leader = self._view().leader
            asked = self._pass_on(leader, control_pb2.Call(asks_time=True))
            told = await self._wait(asked, deadline_s)
            left_s = deadline_s - lean.now_s()
            # A leader of the version before answers as to a read, without a time.
            if told is None or not told.HasField("time") or self._view().leader != leader:
                return None
            call.latest.CopyFrom(told.time)
            call.latest.time_s += left_s
        answer = await self._wait(self._start_call(order, call, deadline_s), deadline_s)
        is_echoed = answer is not None and answer.HasField("order") and answer.order == order
        return answer if is_echoed else None

    async def _wait(
        self, waiting: asyncio.Future[control_pb2.CallReply | None] | None, deadline_s: float
    ) -> control_pb2.CallReply | None:
        if waiting is None:
            return None
        done, _ = await asyncio.wait((waiting,), timeout=max(0.0, deadline_s - lean.now_s()))
        if not done:
            self._forget(waiting)
        return waiting.result() if done else None

    def _forget(self, waiting: asyncio.Future[control_pb2.CallReply | None]) -> None:
        """Drops a call that nobody waits for; its leader may be gone."""
        for ticket in [t for t, future in self._remote.items() if future is waiting]:
            del self._remote[ticket]

    def _start_call(
        self,
        command: control.Command | None,
        call: control_pb2.Call,
        latest_s: float | None = None,
    ) -> asyncio.Future[control_pb2.CallReply | None] | None:
        if self._view().role is not consensus.Role.LEADER:
            return self._pass_on(self._view().leader, call)
        waiting = asyncio.get_running_loop().create_future()
        order = command if isinstance(command, control_pb2.ZoneOrder) else None
        self._enter(command, Caller(waiting=waiting, order=order), latest_s)
        return waiting

    def _pass_on(
        self, leader: str, call: control_pb2.Call
    ) -> asyncio.Future[control_pb2.CallReply | None] | None:
        waiting = asyncio.get_running_loop().create_future()
        self._next_ticket += 1
        call.ticket = self._next_ticket
        self._remote[call.ticket] = waiting
        if self._send(leader, call):
            return waiting
        del self._remote[call.ticket]
        return None

    # From other control VMs

    def take_call(self, link: links.Link, call: control_pb2.Call, now_s: float) -> None:
        """Takes a call that another control VM passes on.

        Args:
            link: Where the answer goes.
            call: The call.
            now_s: Current time.
        """
        caller = Caller(link=link, ticket=call.ticket)
        if call.asks_time:
            time = control_pb2.ProcessTime(process=self.process, time_s=now_s)
            reply = control_pb2.CallReply(ticket=call.ticket, time=time)
            link.send(links.Kind.REPLY, reply.SerializeToString())
        elif call.HasField("order"):
            if call.latest.process == self.process:
                caller = attrs.evolve(caller, order=call.order)
                self._enter(call.order, caller, call.latest.time_s)
            else:
                # Its caller asked an earlier process for the time; it asks again.
                reply = control_pb2.CallReply(ticket=call.ticket)
                link.send(links.Kind.REPLY, reply.SerializeToString())
        else:
            self._enter(call.file if call.HasField("file") else None, caller)

    def take_reply(self, reply: control_pb2.CallReply) -> None:
        """Takes the answer to a call that this VM passed on.

        Args:
            reply: The answer.
        """
        self._resolve(self._remote.pop(reply.ticket, None), reply)

    # From this VM's replica

    def take_output(self, output: replica_thread.Output) -> None:
        """Answers whoever waits for what a step of the replica produced.

        Args:
            output: The output.
        """
        for ticket, caller in output.entered:
            self._waiting[ticket] = caller
        for caller in output.refused:
            self._resolve(caller.waiting, None)
        for answer in output.answers:
            self._deliver(answer)

    @staticmethod
    def _resolve(
        waiting: asyncio.Future[control_pb2.CallReply | None] | None,
        reply: control_pb2.CallReply | None,
    ) -> None:
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    def _deliver(self, answer: control.Answer) -> None:
        caller = self._waiting.pop(answer.ticket, None)
        if caller is None:
            return
        reply = control_pb2.CallReply(reply=answer.reply, ticket=caller.ticket, order=caller.order)
        if caller.order is None:
            reply.file.CopyFrom(self._view().rules)
        self._resolve(caller.waiting, reply)
        if caller.link is not None:
            caller.link.send(links.Kind.REPLY, reply.SerializeToString())
