"""The lean programs on real sockets: three control VMs, an entry VM, a target and a caller."""

import asyncio
import json
import socket
import threading

import attrs
import control as control_program
import packet
import pytest
from test_platform import BEAT, document, route

from zinniaspoke import (
    cli,
    consensus,
    errors,
    events,
    feed,
    lean_settings,
    pacing,
    porcelain,
    ports,
    siblings,
    storage,
    where,
)
from zinniaspoke.adapters import links, page
from zinniaspoke.daemons import calls, lean, lean_control, lean_entry
from zinniaspoke.proto import control_pb2

LEADER = consensus.Role.LEADER
BEAT_DATA = json.dumps(BEAT).encode()
HOSTS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
LIMIT_S = 20.0


class Notes(ports.LogPort):
    """Keeps events."""

    def __init__(self):
        self.written = []

    def write(self, event, step, peer, detail):
        self.written.append((event, peer, detail))


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Site:
    """Processes of one deployment in one loop."""

    def __init__(self, folder):
        self.folder = folder
        self.peer_port = free_port(HOSTS[0])
        self.call_port = free_port(HOSTS[0])
        self.controls = {}
        self.notes = Notes()

    def common(self, host):
        return {
            "name": host,
            "zone": "a",
            "host": host,
            "peer_port": self.peer_port,
            "seeds": tuple(f"{seed}:{self.peer_port}" for seed in HOSTS),
            "announcement_interval_s": 0.2,
            "flow_life_s": 60.0,
            "contact_s": 4.0,
            "stop_limit_s": 3.0,
        }

    async def start_control(self, host):
        program = lean_control.LeanControl(
            config=lean_settings.Control(
                **self.common(host),
                data_folder=str(self.folder / host),
                calls=(host, self.call_port),
                may_bootstrap=True,
                lost_disk_count=1,
                numbering="highest",
                zones=("a", "b"),
                shared_evidence=True,
            ),
            output=self.notes,
        )
        await program.start(control_program.Calls(program=program, output=self.notes).answer)
        self.controls[host] = program

    async def start_entry(self, host="127.0.0.21", **settings):
        self.entry = lean_entry.LeanEntry(
            config=lean_settings.Entry(
                **{**self.common(host), **settings},
                packets=(host, self.call_port),
                ready=(host, self.call_port),
            ),
            codec=packet.Codec(),
            output=self.notes,
        )
        await self.entry.start(lambda request: page.Response(status=200))

    async def call(self, host, method, path, body=b""):
        reader, writer = await asyncio.open_connection(host, self.call_port)
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"Connection: close\r\n\r\n" + body)
        answer = await reader.read()
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), body

    async def until(self, condition):
        for _ in range(int(LIMIT_S / 0.05)):
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"not in time; last events: {self.notes.written[-20:]}")

    async def put(self, data, hosts=HOSTS):
        statuses = []
        for host in (*hosts, *hosts, *hosts):
            status, _ = await self.call(host, "PUT", "/api/config", data)
            statuses.append(status)
            if status != 503:
                return status
            await asyncio.sleep(0.2)
        return statuses[-1]

    def leader(self):
        return next((c for c in self.controls.values() if c.replica.role is LEADER), None)

    async def order(self, method, zone, hosts=HOSTS):
        """Gives a zone order until it is answered with something else than 503."""
        for host in (*hosts, *hosts, *hosts):
            status, _ = await self.call(host, method, f"/api/evacuations/{zone}")
            if status != 503:
                return status
            await asyncio.sleep(0.2)
        return 503

    async def stop(self):
        for program in self.controls.values():
            await program.leave()


@pytest.fixture
def site(tmp_path):
    return Site(tmp_path)


async def founded(site):
    for host in HOSTS:
        await site.start_control(host)
    await site.until(lambda: any(c.replica.leader for c in site.controls.values()))


def test_manifest_is_accepted_anywhere_read_anywhere_and_outlives_a_restart(site):
    async def play():
        await founded(site)
        first, second = document(route(), version=5), document(route(timeout_ms=7), version=9)
        for data in (first, second):
            assert await site.put(data) == 200
        for host in HOSTS:
            status, body = await site.call(host, "GET", "/api/config")
            assert (status, body) == (200, second)
        assert await site.put(first) == 200
        assert await site.put(b"{") == 400
        assert (await site.call(HOSTS[1], "GET", "/api/config"))[1] == second
        await site.stop()
        await asyncio.sleep(0.1)
        site.peer_port, site.call_port = free_port(HOSTS[0]), site.call_port
        site.controls = {}

    asyncio.run(play())


def test_read_is_503_where_no_majority_confirms_it(site):
    async def play():
        await founded(site)
        assert await site.put(document(route(), version=5)) == 200
        for host in HOSTS[1:]:
            program = site.controls.pop(host)
            await program.leave()
            for dialler in program._diallers.values():
                dialler.close()
            for link in (*program._controls_in, *program._subscribers):
                link.abort()
        status, _ = await site.call(HOSTS[0], "GET", "/api/config")
        assert status == 503
        await site.stop()

    asyncio.run(play())


def test_packet_reaches_the_target_with_its_number_and_token_and_the_rest_is_refused(site):
    async def play():
        loop = asyncio.get_running_loop()
        await founded(site)
        assert await site.put(document(route(), version=5)) == 200
        await site.start_entry()
        target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        target.bind(("127.0.0.31", 0))
        target.setblocking(False)
        caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        caller.bind(("127.0.0.41", site.call_port))
        caller.setblocking(False)
        address = f"127.0.0.31:{target.getsockname()[1]}"
        beat = json.dumps({**BEAT, "address": address}).encode()
        path = "/api/instances/i-7f3a91c2"
        assert (await site.call(HOSTS[1], "PUT", path, beat))[0] == 200
        assert (await site.call(HOSTS[1], "PUT", path, b"{}"))[0] == 400
        await site.until(lambda: site.entry.is_ready and len(site.entry.view.targets))

        def opening(port):
            head = bytearray(34)
            head[18] = packet.SYN
            head[22:26], head[26:30] = socket.inet_aton("127.0.0.41"), bytes((198, 18, 0, 1))
            head[30:34] = port.to_bytes(2, "big") + (4001).to_bytes(2, "big")
            return bytes(head)

        entry = ("127.0.0.21", site.call_port)
        caller.sendto(opening(443), entry)
        data = await asyncio.wait_for(loop.sock_recv(target, 2048), 5.0)
        assert int.from_bytes(data[:8], "big") == 0x7F3A91C2
        token = site.entry.view.targets.find("i-7f3a91c2").target.token
        assert int.from_bytes(data[16:20], "big") == token
        caller.sendto(opening(9999), entry)
        answer = await asyncio.wait_for(loop.sock_recv(caller, 2048), 5.0)
        assert answer[18] == packet.RST
        caller.sendto(b"junk", entry)
        await site.until(lambda: site.entry.counters.drops["packet_short"] == 1)
        assert (await site.call(HOSTS[2], "DELETE", path))[0] == 200
        await site.until(
            lambda: site.entry.view.targets.find("i-7f3a91c2").target.state.name == "ENDED"
        )
        text = site.entry.metrics().decode()
        assert 'zinniaspoke_dropped_total{reason="packet_short"} 1' in text
        assert "zinniaspoke_rules_number 5" in text
        assert any(e is events.FLOW_OPENED for e, *_ in site.notes.written)
        await site.entry.leave()
        target.close()
        caller.close()
        await site.stop()

    asyncio.run(play())


def test_target_that_two_entry_vms_find_dark_is_avoided_by_a_third(site):
    async def play():
        await founded(site)
        assert await site.put(document(route(), version=5)) == 200
        path = "/api/instances/i-7f3a91c2"
        assert (await site.call(HOSTS[0], "PUT", path, BEAT_DATA))[0] == 200
        entries = []
        for number in range(21, 24):
            await site.start_entry(f"127.0.0.{number}", shared_evidence=True)
            entries.append(site.entry)
        await site.until(lambda: all(e.is_ready and len(e.view.targets) for e in entries))
        token = entries[0].view.targets.find("i-7f3a91c2").target.token
        # Two failures at each; another target is heard.
        for entry in entries[:2]:
            now_s = lean.now_s()
            for _ in range(2):
                entry._shared.observer.record_failure(token, now_s - 0.1, now_s)
            entry._shared.observer.record_answer(1, now_s)
        await site.until(lambda: entries[2]._shared.verdict_on(token, lean.now_s()))
        assert any(e is events.VERDICT_GIVEN for e, *_ in site.notes.written)
        assert "targets_under_verdict 1" in entries[2].metrics().decode()
        # The control VMs judge one after the other.
        await site.until(
            lambda: all(b"targets_under_verdict 1" in c.metrics() for c in site.controls.values())
        )
        entries[2]._shared.observer.record_answer(token, lean.now_s() + 0.1)
        await site.until(lambda: not any(len(e._shared) for e in entries))
        assert any(e is events.VERDICT_WITHDRAWN for e, *_ in site.notes.written)
        for entry in entries:
            await entry.leave()
        await site.stop()

    asyncio.run(play())


class StallingDisk(storage.DiskStorage):
    """A disk whose writes are not synced until it is released."""

    released = {}

    def sync(self, name):
        self.released.setdefault(self._folder.name, threading.Event())
        if not self.released[self._folder.name].wait(LIMIT_S):
            raise AssertionError("the disk was not released")
        super().sync(name)


@pytest.fixture
def disks(monkeypatch):
    monkeypatch.setattr(storage, "DiskStorage", StallingDisk)
    released = {host: threading.Event() for host in HOSTS}
    monkeypatch.setattr(StallingDisk, "released", released)
    for event in released.values():
        event.set()
    yield released
    for event in released.values():
        event.set()


def test_leader_whose_disk_stalls_gives_way_and_serves_all_that_needs_no_disk(site, disks):
    async def play():
        await founded(site)
        assert await site.put(document(route(), version=5)) == 200
        host = next(h for h, c in site.controls.items() if c.replica.role is LEADER)
        others = tuple(h for h in HOSTS if h != host)
        await site.start_entry()
        await site.until(lambda: site.entry.is_ready)
        disks[host].clear()
        stalled = site.controls[host]
        # A write that the disk does not finish.
        pending = asyncio.ensure_future(
            site.call(host, "PUT", "/api/config", document(route(), version=6))
        )
        await site.until(lambda: any(site.controls[h].replica.role is LEADER for h in others))
        assert await site.put(document(route(timeout_ms=9), version=7), others) == 200
        assert (await site.call(host, "PUT", "/api/instances/i-7f3a91c2", BEAT_DATA))[0] == 200
        await site.until(lambda: site.entry.view.targets.find("i-7f3a91c2"))
        assert (await site.call(host, "GET", "/api/config"))[0] == 503
        assert await pending == (503, b"{}")
        assert not stalled.replica.is_current(lean.now_s())
        assert site.entry.view.rules.number == 7
        disks[host].set()
        await site.until(lambda: stalled.replica.rules.number == 7)
        status, body = await site.call(host, "GET", "/api/config")
        assert (status, body) == (200, document(route(timeout_ms=9), version=7))
        await site.entry.leave()
        await site.stop()

    asyncio.run(play())


def test_control_vm_whose_disk_stalls_from_its_start_on_takes_announcements(site, disks):
    async def play():
        disks[HOSTS[2]].clear()
        for host in HOSTS:
            await site.start_control(host)
        path = "/api/instances/i-7f3a91c2"
        assert (await site.call(HOSTS[2], "PUT", path, BEAT_DATA))[0] == 200
        await site.until(lambda: len(site.controls[HOSTS[0]]._coordinator.targets))
        disks[HOSTS[2]].set()
        assert await site.put(document(route(), version=5)) == 200
        await site.stop()

    asyncio.run(play())


def test_control_vm_that_cannot_read_its_disk_ends(site, monkeypatch):
    class BrokenDisk(storage.DiskStorage):
        def read(self, name):
            raise errors.StorageError(step=f"read {name}", peer="disk", reason="broken")

    async def play():
        monkeypatch.setattr(storage, "DiskStorage", BrokenDisk)
        await site.start_control(HOSTS[0])
        with pytest.raises(errors.StorageError, match="broken"):
            await site.controls[HOSTS[0]].task

    asyncio.run(play())


def test_planned_stop_sends_what_waits_for_the_link_first(site):
    """The link needs 1.4 s for what has arrived; a stop without packets would end after 1 s."""

    async def play():
        loop = asyncio.get_running_loop()
        await founded(site)
        assert await site.put(document(route(), version=5)) == 200
        await site.start_entry(link_bytes_per_s=40_000.0, stop_limit_s=2.0)
        target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        target.bind(("127.0.0.31", 0))
        target.setblocking(False)
        address = f"127.0.0.31:{target.getsockname()[1]}"
        beat = json.dumps({**BEAT, "address": address}).encode()
        assert (await site.call(HOSTS[1], "PUT", "/api/instances/i-7f3a91c2", beat))[0] == 200
        await site.until(lambda: site.entry.is_ready and len(site.entry.view.targets))
        token = site.entry.view.targets.find("i-7f3a91c2").target.token
        size = 1200
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
            for number in range(40):
                head = bytearray(34)
                head[0:4] = (number * size).to_bytes(4, "big")
                head[8:12] = token.to_bytes(4, "big")
                head[16:18] = size.to_bytes(2, "big")
                head[22:26], head[26:30] = socket.inet_aton("127.0.0.41"), bytes((198, 18, 0, 1))
                head[30:34] = (443).to_bytes(2, "big") + (4001).to_bytes(2, "big")
                caller.sendto(bytes(head) + bytes(size), ("127.0.0.21", site.call_port))
        await site.until(lambda: b"link_queued_bytes 0" not in site.entry.metrics())
        await site.entry.leave()
        assert b"link_queued_bytes 0" in site.entry.metrics()
        arrived = [await asyncio.wait_for(loop.sock_recv(target, 2048), LIMIT_S) for _ in range(40)]
        numbers = [int.from_bytes(data[8:12], "big") // size for data in arrived]
        assert numbers == list(range(40))
        assert site.entry.counters.histograms["link_wait"].count > 30
        assert events.LINK_OVERLOADED not in [e for e, *_ in site.notes.written]
        site.entry.counters.drops[pacing.QUEUE_FULL] += 3
        site.entry._tell()
        site.entry._tell()
        told = [detail for e, _, detail in site.notes.written if e is events.LINK_OVERLOADED]
        assert told == ["3 packets, 0 bytes wait"]
        target.close()
        await site.stop()

    asyncio.run(play())


def test_second_upload_is_held_at_its_opening_while_the_link_has_room_for_one(site):
    """The first sends nothing after its opening, so the second goes on after 0.2 s."""

    async def play():
        loop = asyncio.get_running_loop()
        await founded(site)
        made = route(route_type="upload", target_latency_ms=2095, timeout_ms=8381)
        assert await site.put(document(made, version=5)) == 200
        await site.start_entry(link_bytes_per_s=100_000.0)
        target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        target.bind(("127.0.0.31", 0))
        target.setblocking(False)
        address = f"127.0.0.31:{target.getsockname()[1]}"
        beat = json.dumps({**BEAT, "address": address}).encode()
        assert (await site.call(HOSTS[1], "PUT", "/api/instances/i-7f3a91c2", beat))[0] == 200
        await site.until(lambda: site.entry.is_ready and len(site.entry.view.targets))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
            for port in (4001, 4002):
                head = bytearray(34)
                head[18] = 32
                head[22:26], head[26:30] = socket.inet_aton("127.0.0.41"), bytes((198, 18, 0, 1))
                head[30:34] = (443).to_bytes(2, "big") + port.to_bytes(2, "big")
                caller.sendto(bytes(head), ("127.0.0.21", site.call_port))
        arrived = []
        for _ in range(2):
            data = await asyncio.wait_for(loop.sock_recv(target, 2048), LIMIT_S)
            arrived.append((int.from_bytes(data[40:42], "big"), lean.now_s()))
        (first, first_s), (second, second_s) = arrived
        assert (first, second) == (4001, 4002)
        assert second_s - first_s > 0.1
        held = [detail for e, _, detail in site.notes.written if e is events.FLOW_WAITS]
        assert len(held) == 1
        assert held[0].startswith("held_for_link")
        assert b'event="bulk_openings_held"} 1' in site.entry.metrics()
        assert b"link_held_openings 0" in site.entry.metrics()
        target.close()
        await site.stop()

    asyncio.run(play())


def test_planned_stops_in_a_zone_take_turns_and_end_in_time(site):
    async def play():
        await founded(site)
        assert await site.put(document(route(), version=5)) == 200
        entries = []
        for host in ("127.0.0.21", "127.0.0.22", "127.0.0.23"):
            await site.start_entry(host)
            entries.append(site.entry)
        await site.until(lambda: all(entry.is_ready for entry in entries))
        zone = lambda c: c._coordinator.entry_vms.changed_since("a", 0)  # noqa: E731
        await site.until(lambda: all(len(zone(c)) == 3 for c in site.controls.values()))
        await asyncio.sleep(siblings.ROTATION_DELAY_S)
        first = asyncio.ensure_future(entries[0].leave())
        await site.until(lambda: not entries[0].is_ready)
        started_s = lean.now_s()
        second = asyncio.ensure_future(entries[1].leave())
        await asyncio.sleep(0.3)
        assert entries[1].is_ready
        await asyncio.gather(first, second)
        assert lean.now_s() - started_s < site.entry.config.stop_limit_s
        assert [e[1] for e in site.notes.written if e[0] is events.STOP_OUT_OF_TURN] == [
            "127.0.0.22"
        ]
        await entries[2].leave()

    asyncio.run(play())


def test_answers_keep_the_order_of_the_requests_on_a_connection():
    """A late answer to the first request must not be taken for that to the second."""

    async def play():
        release = asyncio.Event()

        async def answer_late(request):
            await release.wait()
            return page.Response(status=200, body=b"first")

        def handle(request):
            if request.path == "/first":
                return answer_late(request)
            return page.Response(status=200, body=b"second")

        port = free_port("127.0.0.1")
        server = await page.listen(handle, "127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
        writer.write(b"GET /second HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        await asyncio.sleep(0.1)
        release.set()
        answers = await reader.read()
        assert answers.index(b"first") < answers.index(b"second")
        assert answers.count(b"HTTP/1.1 200") == 2
        writer.close()
        server.close()

    asyncio.run(play())


def test_call_that_arrives_during_a_planned_stop_is_answered(site):
    """A stop under load: callers keep sending on the connections that they have."""

    async def play():
        await founded(site)
        assert await site.put(document(route(), version=5)) == 200
        host = next(h for h, c in site.controls.items() if c.replica.role is LEADER)
        reader, writer = await asyncio.open_connection(host, site.call_port)
        stopping = asyncio.ensure_future(site.controls.pop(host).leave())
        statuses = []
        while not stopping.done() and len(statuses) < 20:
            writer.write(b"GET /api/config HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
            statuses.append(int(head.split()[1]))
        assert len(statuses) >= 3
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= len(statuses) - 2
        await stopping
        writer.close()
        await site.stop()

    asyncio.run(play())


def test_frame_that_breaks_off_is_not_handed_over():
    """A connection that is lost halfway through an update."""

    class Receiver(links.Owner):
        def __init__(self):
            self.frames = []
            self.closed = asyncio.Event()

        def link_opened(self, link):
            pass

        def frame_received(self, link, kind, payload):
            self.frames.append(payload)

        def link_closed(self, link):
            self.closed.set()

    async def play():
        receiver, port = Receiver(), free_port("127.0.0.1")
        server = await links.listen(receiver, "127.0.0.1", port, lean.now_s)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        frame = (100).to_bytes(4, "big") + bytes((links.Kind.UPDATE,)) + bytes(100)
        writer.write(frame + frame[:60])
        writer.close()
        await asyncio.wait_for(receiver.closed.wait(), 5.0)
        assert receiver.frames == [bytes(100)]
        server.close()

    asyncio.run(play())


def test_handler_that_fails_is_answered_503_and_not_400():
    async def play():
        told = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: told.append(context))

        async def fail_later(request):
            raise ValueError("later")

        def fail(request):
            if request.path == "/later":
                return fail_later(request)
            raise ValueError("at once")

        port = free_port("127.0.0.1")
        server = await page.listen(fail, "127.0.0.1", port)
        for path in ("/now", "/later"):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            assert (await reader.read()).startswith(b"HTTP/1.1 503")
            writer.close()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"no request at all\r\n\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 400")
        writer.close()
        server.close()
        assert len(told) >= 2

    asyncio.run(play())


def test_program_that_cannot_go_on_ends_with_an_error():
    class Broken(lean.Program):
        async def leave(self):
            raise AssertionError("not asked to end")

    async def play():
        async def fail():
            raise ValueError("broken")

        program, notes = Broken(), Notes()
        program.task = asyncio.ensure_future(fail())
        signals = lean.Signals(path="/nonexistent", reload=lambda: None, output=notes)
        with pytest.raises(SystemExit):
            await lean.run(program, signals, notes)
        assert notes.written[0][0] is events.PROCESS_FAILED

    asyncio.run(play())


def test_settings_read_while_half_written_are_told_and_read_again(tmp_path, monkeypatch):
    monkeypatch.setattr(lean, "SETTINGS_POLL_S", 0.02)
    path, taken, notes = tmp_path / "settings.json", [], Notes()
    path.write_text("{}")

    def reload():
        if not path.read_text().endswith("}"):
            raise errors.SettingsError(step="read settings", peer=str(path), reason="cut short")
        taken.append(path.read_text())

    async def play():
        lean.Signals(path=str(path), reload=reload, output=notes)
        path.write_text('{"seeds": ')
        for _ in range(100):
            await asyncio.sleep(0.02)
            if notes.written:
                break
        assert notes.written[0][0] is events.SETTINGS_REFUSED
        path.write_text('{"seeds": 1}')
        for _ in range(100):
            await asyncio.sleep(0.02)
            if taken:
                break
        assert taken == ['{"seeds": 1}']

    asyncio.run(play())


def test_zone_orders_are_taken_anywhere_and_in_force_at_entry_vms(site):
    async def play():
        await founded(site)
        assert await site.put(document(route(), version=5)) == 200
        await site.start_entry()
        await site.until(lambda: site.entry.is_ready or len(site.entry.view._feeds) > 2)
        for host in HOSTS:
            assert await site.order("POST", "a", (host,)) == 200
            await site.until(lambda: site.entry.view.evacuated_zones == {"a"})
            assert await site.order("POST", "a", (host,)) == 200
            assert await site.order("DELETE", "a", (host,)) == 200
            await site.until(lambda: not site.entry.view.evacuated_zones)
            assert await site.order("DELETE", "a", (host,)) == 200
        assert site.entry.view.places_revision == 6
        assert {c.replica.places_revision for c in site.controls.values()} == {6}
        assert {c.replica.rules.number for c in site.controls.values()} == {5}
        told = [(e, peer) for e, peer, _ in site.notes.written if e is events.ZONE_EVACUATED]
        assert told == [(events.ZONE_EVACUATED, "a")] * 3
        await site.entry.leave()
        await site.stop()

    asyncio.run(play())


def test_zone_orders_that_make_no_sense_get_a_clear_answer(site):
    async def play():
        await founded(site)
        await site.until(lambda: site.leader())
        for method in ("POST", "DELETE"):
            for zone in ("c", "", "a/b", "%61", "a%2Fb", "a" * 200, "a%00", "a;b"):
                status, _ = await site.call(HOSTS[1], method, f"/api/evacuations/{zone}")
                assert status == 404, zone
            status, _ = await site.call(HOSTS[1], method, "/api/evacuations/a", b"{}")
            assert status == 400
        for method in ("PUT", "GET", "PATCH"):
            assert (await site.call(HOSTS[1], method, "/api/evacuations/a"))[0] == 404
        assert (await site.call(HOSTS[1], "POST", "/api/evacuations"))[0] == 404
        assert all(not c.replica.places_revision for c in site.controls.values())
        await site.stop()

    asyncio.run(play())


def test_zone_order_is_503_in_time_where_there_is_no_majority(site):
    async def play():
        await founded(site)
        assert await site.order("POST", "a") == 200
        for host in HOSTS[1:]:
            program = site.controls.pop(host)
            await program.leave()
            for dialler in program._diallers.values():
                dialler.close()
            for link in (*program._controls_in, *program._subscribers):
                link.abort()
        started_s = lean.now_s()
        assert (await site.call(HOSTS[0], "DELETE", "/api/evacuations/a"))[0] == 503
        assert lean.now_s() - started_s < 1.0
        await site.stop()

    asyncio.run(play())


def test_calls_that_may_have_waited_for_a_standing_event_loop_give_no_orders(site):
    async def play():
        await founded(site)
        assert await site.order("POST", "a") == 200
        program = site.controls[HOSTS[0]]
        order = control_pb2.ZoneOrder(zone="a")
        program.calls._ticked_s -= calls.STALL_S
        assert await program.order(order) is None
        await asyncio.sleep(3 * lean_control.TICK_S)
        assert await program.order(order) is None
        assert program.counters.events["orders_after_stall"] == 2
        assert all(c.replica.evacuated for c in site.controls.values())
        await asyncio.sleep(calls.STALL_READ_S)
        assert (await program.order(order)).order == order
        await site.stop()

    asyncio.run(play())


def test_order_passed_on_late_or_to_a_restarted_leader_is_not_proposed(site):
    async def play():
        await founded(site)
        assert await site.order("POST", "a") == 200
        await site.until(site.leader)
        leader = site.leader()
        for latest in (
            control_pb2.ProcessTime(process=leader.calls.process, time_s=lean.now_s() - 0.01),
            control_pb2.ProcessTime(process=leader.calls.process + 1, time_s=lean.now_s() + 10),
        ):
            call = control_pb2.Call(order=control_pb2.ZoneOrder(zone="a"), latest=latest)
            link = next(iter(leader._controls_in))
            leader.calls.take_call(link, call, lean.now_s())
        await asyncio.sleep(0.5)
        assert leader.replica.evacuated == {"a"}
        await site.stop()

    asyncio.run(play())


def test_leader_of_the_version_before_is_given_no_order(site):
    """It would take the order for a read and answer yes."""

    async def play():
        await founded(site)
        await site.until(site.leader)
        leader = site.leader()
        take = leader.calls.take_call

        def take_as_before(link, call, now_s):
            for field in ("order", "latest", "asks_time"):
                call.ClearField(field)
            take(link, call, now_s)

        leader.calls.take_call = take_as_before
        other = next(c for c in site.controls.values() if c is not leader)
        assert (await other.call(None)).reply.outcome == control_pb2.SUBMIT_OUTCOME_YES
        assert await other.order(control_pb2.ZoneOrder(zone="a", is_evacuated=True)) is None
        await site.stop()

    asyncio.run(play())


def test_entry_vm_that_missed_the_evacuated_zones_connects_anew_and_asks_for_them(
    site, monkeypatch
):
    """The update that named them could not be read; the control VM takes them for known."""
    entry = lean_entry.LeanEntry(
        config=lean_settings.Entry(
            **site.common("127.0.0.21"), packets=("127.0.0.21", 1), ready=("127.0.0.21", 2)
        ),
        codec=packet.Codec(),
        output=site.notes,
    )
    link = links.Link(owner=entry, peer="c1:1", clock=lean.now_s)
    aborted = []
    monkeypatch.setattr(link, "abort", lambda: aborted.append(entry.view.places_revision))

    def take(**fields):
        update = feed.Update(is_current=True, is_complete=True, **fields)
        entry.frame_received(link, links.Kind.UPDATE, feed.encode(update, lean.now_s()))

    take(places_revision=2, evacuated_zones=("a",))
    take(places_revision=2)
    take(places_revision=1)
    assert (entry.view.evacuated_zones, aborted) == ({"a"}, [])
    unreadable = json.loads(
        feed.encode(feed.Update(places_revision=3, evacuated_zones=("a", "b")), lean.now_s())
    )
    unreadable["targets"] = [["i-1"]]
    entry.frame_received(link, links.Kind.UPDATE, json.dumps(unreadable).encode())
    assert (entry.view.evacuated_zones, aborted) == ({"a"}, [])
    take(places_revision=3)
    assert aborted == [2]
    take(places_revision=3, evacuated_zones=("a", "b"))
    take(places_revision=3)
    assert (entry.view.evacuated_zones, aborted) == ({"a", "b"}, [2])


def test_operator_asks_an_entry_vm_where_flows_would_go(site, capsys):
    """The command's words reach the entry VM over its metrics address."""

    async def play():
        await founded(site)
        assert await site.put(document(route(), version=5)) == 200
        metrics = ("127.0.0.21", free_port("127.0.0.21"))
        await site.start_entry(metrics=metrics)
        assert (await site.call(HOSTS[1], "PUT", "/api/instances/i-7f3a91c2", BEAT_DATA))[0] == 200
        await site.until(lambda: site.entry.is_ready and len(site.entry.view.targets))
        vm = f"127.0.0.21:{metrics[1]}"
        question = where.parse("127.0.0.41:4001", "198.18.0.1:443", 3)
        answers = (await porcelain.ask_where(vm, question))["flows"]
        assert [answer["target"] for answer in answers] == ["i-7f3a91c2"] * 3
        assert {answer["rules_number"] for answer in answers} == {5}
        words = ["where", f"--vm={vm}", "127.0.0.41:4001", "198.18.0.1:444"]
        assert await asyncio.to_thread(cli.main, words) == cli.EXIT_NO
        assert "refused_no_route" in capsys.readouterr().out
        with pytest.raises(errors.Error, match="count"):
            await porcelain.ask_where(vm, attrs.evolve(question, count=0))
        await site.stop()

    asyncio.run(play())


def test_deregistration_ends_the_incarnation_that_announced_itself_on_its_connection(site):
    """One that a network path has held up names no incarnation but its target's."""
    path = "/api/instances/i-7f3a91c2"

    async def request(connection, method, body=b""):
        reader, writer = connection
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(2)
        return int(head.split()[1])

    def beat(born, sequence):
        return json.dumps({**BEAT, "born": born, "sequence": sequence}).encode()

    async def play():
        await founded(site)
        assert await site.put(document(route(), version=5)) == 200
        host, program = HOSTS[0], site.controls[HOSTS[0]]
        earlier, later = [await asyncio.open_connection(host, site.call_port) for _ in range(2)]
        assert await request(earlier, "PUT", beat(1000, 7)) == 200
        assert await request(later, "PUT", beat(2000, 1)) == 200

        def record():
            return program._coordinator.targets.find("i-7f3a91c2").target

        assert await request(earlier, "DELETE") == 200
        assert record().state.name == "READY"
        assert any(e is events.DEREGISTRATION_OUTDATED for e, *_ in site.notes.written)
        assert (await site.call(host, "DELETE", path))[0] == 200
        assert (record().state.name, record().end.name) == ("ENDED", "AMBIGUOUS")
        for sequence in (2, 3):
            await asyncio.sleep(0.2)
            assert await request(later, "PUT", beat(2000, sequence)) == 200
        assert record().state.name == "READY"
        assert any(e is events.TARGET_END_WITHDRAWN for e, *_ in site.notes.written)
        assert await request(later, "DELETE") == 200
        assert (record().state.name, record().end.name) == ("ENDED", "OWN_WORD")
        for _, writer in (earlier, later):
            writer.close()
        await site.stop()

    asyncio.run(play())
