"""Stand-in for callers: opens flows, sends requests, reads whole answers."""

import ipaddress
import random
from collections.abc import Callable

import attrs

from zinniaspoke import packets, rules
from zinniaspoke.standins import loop as loops
from zinniaspoke.standins import target, tcp, traffic

POLL_S = 0.05


@attrs.define(kw_only=True, slots=True)
class _Call:
    connection: tcp.Connection
    outcome: traffic.Outcome
    requests: list[target.Request]
    pause_s: float
    resumes_s: float = 0.0
    is_waiting: bool = False


class Callers:
    """All callers together, on one host stand-in."""

    def __init__(
        self,
        *,
        loop: loops.Loop,
        transmit: Callable[[bytes], None],
        tally: traffic.Traffic,
        rng: random.Random,
    ) -> None:
        """Connects to the fabric.

        Args:
            loop: Time and timers.
            transmit: Hands an IP packet to the fabric.
            tally: Where outcomes are counted.
            rng: Seeded random source.
        """
        self._loop = loop
        self._transmit = transmit
        self._tally = tally
        self._rng = rng
        self._calls: dict[bytes, _Call] = {}
        self._count = 0
        self._now = loop.time
        loop.call_later(POLL_S, self._poll)

    @property
    def open_count(self) -> int:
        """Flows that have not ended."""
        return len(self._calls)

    def open(
        self,
        *,
        rule: rules.Rule,
        kind: str,
        request_count: int,
        work_s: float,
        chunk_count: int,
        pause_s: float = 0.0,
    ) -> bytes:
        """Opens a flow.

        Args:
            rule: Where to.
            kind: ``"short"``, ``"long"`` or ``"idle"``, for the tally.
            request_count: Requests on this connection.
            work_s: Work of each.
            chunk_count: Pieces of each answer.
            pause_s: Idle time between requests.

        Returns:
            The flow's key.
        """
        self._count += 1
        number = self._count
        host = ipaddress.ip_address("100.64.0.0") + 1 + number % 4000
        local = tcp.Address(host=host.packed, port=(20000 + number % 40000).to_bytes(2, "big"))
        remote = tcp.Address(host=rule.address, port=rule.port.to_bytes(2, "big"))
        flow = packets.TCP.to_bytes(1, "big") + local.host + local.port + remote.host + remote.port
        connection = tcp.Connection(
            local=local,
            remote=remote,
            first_sequence=self._rng.randrange(1 << 28),
            transmit=self._transmit,
        )
        outcome = traffic.Outcome(
            service=rule.service, kind=kind, opened_s=self._now(), work_s=work_s * request_count
        )
        requests = [
            target.Request(
                service=rule.service,
                request_id=f"{number}.{index}",
                work_s=work_s,
                chunk_count=chunk_count,
            )
            for index in range(request_count)
        ]
        self._tally.meant[flow] = rule.service
        self._tally.outcomes[flow] = outcome
        self._calls[flow] = _Call(
            connection=connection, outcome=outcome, requests=requests, pause_s=pause_s
        )
        connection.open(self._now())
        return flow

    def receive(self, packet: packets.Packet) -> None:
        """Takes a packet from the fabric.

        Args:
            packet: The packet.
        """
        flow = packet.return_flow
        call = self._calls.get(flow)
        if call is None:
            return
        call.connection.receive(packet, self._now())
        self._advance(flow, call)

    def _advance(self, flow: bytes, call: _Call) -> None:
        now_s = self._now()
        connection, outcome = call.connection, call.outcome
        if connection.state is tcp.State.RESET:
            self._end(flow, call, now_s)
            outcome.is_refused = not connection.was_answered
            outcome.broken_during = self._tally.step
            return
        if connection.was_answered and outcome.answered_s is None:
            outcome.answered_s = now_s
        if call.is_waiting and connection.received.endswith(b"\n"):
            connection.received.clear()
            call.is_waiting = False
            call.resumes_s = now_s + call.pause_s
            if not call.requests:
                outcome.is_complete = True
                outcome.completed_s = now_s
                connection.finish(now_s)
        if outcome.answered_s is not None and not call.is_waiting and call.requests:
            self._request(call, now_s)
        if connection.state is tcp.State.CLOSED:
            self._end(flow, call, now_s)

    @staticmethod
    def _request(call: _Call, now_s: float) -> None:
        if now_s < call.resumes_s:
            return
        call.is_waiting = True
        call.connection.send(call.requests.pop(0).encode(), now_s)

    def _end(self, flow: bytes, call: _Call, now_s: float) -> None:
        call.outcome.ended_s = now_s
        del self._calls[flow]

    def _poll(self) -> None:
        now_s = self._now()
        for flow, call in list(self._calls.items()):
            call.connection.poll(now_s)
            self._advance(flow, call)
        self._loop.call_later(POLL_S, self._poll)
