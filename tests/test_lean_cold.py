"""Cold targets on real sockets: shares are asked for, given and used; late openings are dropped."""

import asyncio
import json

import packet
import pytest
from test_lean_daemons import HOSTS, Notes, Site, founded, free_port
from test_platform import BEAT, route

from zinniaspoke import coldshares, lean_settings, pacing
from zinniaspoke.adapters import links
from zinniaspoke.daemons import lean, lean_entry


class ColdSite(Site):
    """Its settings bound openings to cold targets."""

    def common(self, host):
        return {**super().common(host), "cold_overage": 1.5, "cold_slack": 5.0}


@pytest.fixture
def site(tmp_path, monkeypatch):
    monkeypatch.setattr(coldshares, "LEADER_WAIT_S", 0.5)
    return ColdSite(tmp_path)


def manifest_data():
    body = {
        "version": 5,
        "routes": [route()],
        "services": [{"name": "ledger", "cold_start_s": 2.0, "cold_per_s": 0.0}],
        "limits": {},
    }
    return json.dumps(body).encode()


def test_entry_vm_is_given_shares_while_a_target_is_cold(site):
    async def play():
        await founded(site)
        assert await site.put(manifest_data()) == 200
        await site.start_entry()
        beat = json.dumps({**BEAT, "cold_remaining_ms": 60000}).encode()
        assert (await site.call(HOSTS[1], "PUT", "/api/instances/i-7f3a91c2", beat))[0] == 200
        await site.until(lambda: site.entry.is_ready)
        await site.until(lambda: b"zinniaspoke_cold_shares 5" in site.entry.metrics())
        granted = [c.counters.events["share_grants"] for c in site.controls.values()]
        assert sum(count > 0 for count in granted) == 1
        # It becomes warm, and nothing is asked for any more.
        warm = json.dumps({**BEAT, "cold_remaining_ms": 0, "sequence": 5}).encode()
        assert (await site.call(HOSTS[1], "PUT", "/api/instances/i-7f3a91c2", warm))[0] == 200
        await site.entry.leave()
        await site.stop()

    asyncio.run(play())


def test_control_vms_give_nothing_where_no_bound_is_set(tmp_path):
    site = Site(tmp_path)

    async def play():
        await founded(site)
        assert await site.put(manifest_data()) == 200
        await site.start_entry()
        beat = json.dumps({**BEAT, "cold_remaining_ms": 60000}).encode()
        assert (await site.call(HOSTS[1], "PUT", "/api/instances/i-7f3a91c2", beat))[0] == 200
        await site.until(lambda: site.entry.is_ready and len(site.entry.view.targets))
        assert b"cold_shares" not in site.entry.metrics()
        assert site.entry.counters.events["share_requests"] == 0
        await site.entry.leave()
        await site.stop()

    asyncio.run(play())


class Sent:
    """Stands for the packet socket."""

    def __init__(self):
        self.data = []

    def sendto(self, data, _endpoint):
        self.data.append(data)


def make_entry(site):
    return lean_entry.LeanEntry(
        config=lean_settings.Entry(
            **site.common("127.0.0.21"), packets=("127.0.0.21", 1), ready=("127.0.0.21", 2)
        ),
        codec=packet.Codec(),
        output=Notes(),
    )


def test_opening_to_a_cold_target_is_not_sent_after_a_standstill(tmp_path, monkeypatch):
    entry = make_entry(ColdSite(tmp_path))
    entry._socket = Sent()
    monkeypatch.setattr(lean, "now_s", lambda: 10.0)
    for deadline_s in (None, 10.0, 9.99):
        datagram = pacing.Datagram(
            data=str(deadline_s).encode(), endpoint=("", 1), flow=b"", deadline_s=deadline_s
        )
        entry._send(datagram)
    assert entry._socket.data == [b"None", b"10.0"]
    assert entry.counters.drops["cold_opening_late"] == 1


def test_grant_that_arrives_after_a_standstill_releases_nothing_before_an_update(
    tmp_path, monkeypatch
):
    entry = make_entry(ColdSite(tmp_path))
    released = []
    monkeypatch.setattr(
        entry, "_release", lambda now_s: released.append(entry.view.is_fresh(now_s))
    )
    now_s = lean.now_s() + 5.0
    monkeypatch.setattr(lean, "now_s", lambda: now_s)
    link = links.Link(owner=entry, peer="c1:1", clock=lean.now_s)
    entry.frame_received(link, links.Kind.SHARE_GRANT, bytes(12))
    assert released == [False]


def test_frame_of_an_unknown_kind_is_passed_over():
    """Peers of earlier versions know nothing of shares."""

    class Receiver(links.Owner):
        def __init__(self):
            self.frames = []
            self.closed = asyncio.Event()

        def link_opened(self, link):
            pass

        def frame_received(self, link, kind, payload):
            self.frames.append((kind, payload))

        def link_closed(self, link):
            self.closed.set()

    async def play():
        receiver, port = Receiver(), free_port("127.0.0.1")
        server = await links.listen(receiver, "127.0.0.1", port, lean.now_s)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        unknown = (3).to_bytes(4, "big") + bytes((99,)) + b"abc"
        known = (1).to_bytes(4, "big") + bytes((links.Kind.UPDATE,)) + b"x"
        writer.write(unknown + known)
        writer.close()
        await asyncio.wait_for(receiver.closed.wait(), 5.0)
        assert receiver.frames == [(links.Kind.UPDATE, b"x")]
        server.close()

    asyncio.run(play())
