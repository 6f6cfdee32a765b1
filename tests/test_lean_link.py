"""Openings held for a narrow link, in the entry VM's program without a network."""

import asyncio

import packet
import pytest
from test_bulk import BULK, WINDOW, fill
from test_lean_cold import Sent
from test_lean_daemons import Notes, Site

from zinniaspoke import admission, events, lean_settings, steering
from zinniaspoke.adapters import links
from zinniaspoke.daemons import lean, lean_entry


@pytest.fixture
def entry(tmp_path, monkeypatch):
    site = Site(tmp_path)
    made = lean_entry.LeanEntry(
        config=lean_settings.Entry(
            **site.common("127.0.0.21"),
            packets=("127.0.0.21", 1),
            ready=("127.0.0.21", 2),
            link_bytes_per_s=200_000.0,
        ),
        codec=packet.Codec(),
        output=Notes(),
    )
    monkeypatch.setattr(made, "_rule_of", lambda _packet: BULK)
    return made


def datagram(port, flags, *, acknowledged=0, data=b""):
    head = bytearray(packet.HEADER_BYTES)
    head[4:8] = acknowledged.to_bytes(4, "big")
    head[16:18] = len(data).to_bytes(2, "big")
    head[18] = flags
    head[22:26] = bytes((100, 64, 0, 7))
    head[32:34] = port.to_bytes(2, "big")
    return bytes(head) + data


def hold(entry, port, *, retransmit_count=0):
    """Has an opening held behind an upload that fills the link."""
    entry._admission.consider(
        steering.Packet(flow=b"a", route=b"", kind=steering.Kind.OPENING, token=0), BULK, -0.5
    )
    fill(entry._pacer, b"a", WINDOW, BULK, 0.01)
    entry._handle(datagram(port, packet.SYN, acknowledged=retransmit_count), 0.02)
    assert entry.counters.events[admission.HELD.reason] == 1
    assert len(entry._admission) == 1


@pytest.mark.parametrize("flags", [packet.ACK, packet.FIN, packet.RST])
@pytest.mark.parametrize("data", [b"", b"body"])
def test_held_copy_of_an_opening_is_forgotten_once_its_flow_is_open(entry, flags, data):
    """Failure: routers change their hash, the first copy went elsewhere and was answered.

    Released, the copy would open the flow at a second target as well.
    """
    hold(entry, 40001, retransmit_count=1)
    entry._handle(datagram(40002, packet.ACK, acknowledged=9), 0.03)
    assert len(entry._admission) == 1
    entry._handle(datagram(40001, flags, acknowledged=9, data=data), 0.04)
    assert len(entry._admission) == 0


def test_held_openings_are_looked_at_while_nothing_waits_for_the_link(entry):
    """No packet may come for a while, and the next tick is far."""

    async def play():
        now_s = lean.now_s()
        hold(entry, 40001)
        while entry._pacer:
            entry._pacer.take_due(now_s)
        entry._schedule_pacer(now_s)
        assert entry._pacer_timer is not None
        entry._pacer_timer.cancel()
        entry._pacer_timer = None
        entry._admission.cancel(datagram(40001, 0)[22:34])
        entry._schedule_pacer(now_s)
        assert entry._pacer_timer is None

    asyncio.run(play())


@pytest.fixture
def clock(entry, monkeypatch):
    """The program's time; the VM stands still when it leaps."""
    now = [100.0]
    monkeypatch.setattr(lean, "now_s", lambda: now[0])
    entry._socket = Sent()
    entry.view.tick(100.0)
    return now


def test_held_openings_wait_for_an_update_after_a_standstill(entry, clock, monkeypatch):
    """Failure: this VM froze with an opening held; the timer of the link is the first to run."""
    steered = []
    monkeypatch.setattr(entry, "_steer", lambda packet, _rule, _now_s: steered.append(packet))

    async def play():
        entry._admission.consider(
            steering.Packet(flow=b"a", route=b"", kind=steering.Kind.OPENING, token=0), BULK, 99.9
        )
        fill(entry._pacer, b"a", WINDOW, BULK, 100.0)
        entry._handle(datagram(40001, packet.SYN), 100.0)
        assert len(entry._admission) == 1
        clock[0] = 101.25
        entry._send_due()
        assert not entry.view.is_fresh(101.25)
        assert steered == []

    asyncio.run(play())


def test_opening_that_came_during_a_standstill_is_not_refused_for_the_link(
    entry, clock, monkeypatch
):
    """Failure: its later copies may have opened the flow through another VM meanwhile."""
    refused = []
    monkeypatch.setattr(entry._codec, "reset", lambda made: refused.append(made) or ("h", b""))
    monkeypatch.setattr(entry._admission, "consider", lambda *_arguments: admission.REFUSED_NO_ROOM)
    monkeypatch.setattr(entry, "_submit", lambda *_arguments: None)
    entry._handle(datagram(40001, packet.SYN), 100.0)
    assert len(refused) == 1
    clock[0] = 101.0
    entry.view.detect_suspension(101.0)
    assert not entry.view.is_fresh(101.0)
    entry._handle(datagram(40002, packet.SYN), 101.0)
    assert len(refused) == 1


def test_link_that_bulk_waits_for_is_told_of_while_no_opening_is_held(entry, clock):
    fill(entry._pacer, b"a", WINDOW, BULK, 100.0)
    assert len(entry._admission) == 0
    entry._tell()
    told = [detail for event, _, detail in entry._output.written if event is events.LINK_SHARED]
    assert len(told) == 1
    assert "0 openings of bulk wait" in told[0]


def test_openings_that_a_grant_releases_have_the_link_scheduled(entry, clock, monkeypatch):
    """Otherwise they would wait for the next tick, which may be past their time in the queue."""
    monkeypatch.setattr(entry, "_release", lambda now_s: fill(entry._pacer, b"a", 4, BULK, now_s))
    monkeypatch.setattr(entry, "_holder", Grants())

    async def play():
        link = links.Link(owner=entry, peer="c1:1", clock=lean.now_s)
        entry.frame_received(link, links.Kind.SHARE_GRANT, bytes(12))
        assert entry._pacer_timer is not None

    asyncio.run(play())


class Grants:
    """Stands for the holder of shares."""

    def take_grant(self, payload, now_s):
        pass
