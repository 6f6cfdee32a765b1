"""The soak: its checks without processes, its parts, and short runs of the real processes."""

import asyncio
import inspect
import os
import random
import socket

import pytest

from soak import launcher, mutations, net, processes, promises, run, schedule, shim, wire
from zinniaspoke import errors

WINDOW_S = processes.BOUNDS["contact_window_ms"] / 1000


@pytest.fixture
def judge():
    found = promises.Judge(bounds=processes.BOUNDS)
    found.versions[1] = promises.Version(
        routes={8000: "x", 8001: "x"}, body=b"1", sent_s=0.0, acknowledged_s=1.0
    )
    return found


def change(judge, at_s=20.0, **routes):
    judge.versions[3] = promises.Version(
        routes={int(port[1:]): service for port, service in routes.items()},
        body=b"3",
        sent_s=at_s,
        acknowledged_s=at_s + 0.5,
    )


def opening(judge, sent_s, **values):
    opened = {
        "target": "t1",
        "service": "x",
        "zone": "a",
        "port": 8000,
        "entry": "e1",
        "lifetime": "e1/1",
        "sent_s": sent_s,
        "now_s": sent_s + 0.1,
        "flow": "f",
    }
    judge.opening(**{**opened, **values})


def names(judge):
    return [finding.promise for finding in judge.findings]


def test_opening_at_the_service_of_its_rule_breaks_nothing(judge):
    opening(judge, 10.0)
    assert names(judge) == []


def test_opening_at_another_service_is_found_even_out_of_touch(judge):
    judge.touch.hit("all", 10.0)
    opening(judge, 10.0, service="y")
    assert names(judge) == ["wrong_service"]


def test_older_rules_are_found_after_the_bound_only(judge):
    change(judge, _8000="y", _8001="x")
    opening(judge, 23.4)
    assert names(judge) == []
    opening(judge, 23.6)
    assert names(judge) == ["rules_late"]


def test_older_rules_out_of_touch_are_no_finding(judge):
    change(judge, _8000="y", _8001="x")
    judge.touch.hit("core", 24.0)
    opening(judge, 24.0 + WINDOW_S - 0.1)
    assert names(judge) == []
    opening(judge, 24.0 + WINDOW_S + 0.1)
    assert names(judge) == ["rules_late"]


def test_a_process_that_goes_back_is_found_and_its_next_lifetime_is_not(judge):
    change(judge, _8000="y", _8001="x")
    opening(judge, 21.0, service="y")
    opening(judge, 21.2)
    opening(judge, 22.0, lifetime="e1/2")
    assert names(judge) == []
    opening(judge, 22.0)
    assert names(judge) == ["rules_back"]


def test_opening_at_a_leaving_target_is_found_after_the_bound(judge):
    judge.leaves("t1", "c1", 10.0)
    opening(judge, 12.8)
    opening(judge, 13.5, entry="e2", target="t2")
    assert names(judge) == []
    opening(judge, 13.5)
    assert names(judge) == ["drain_late"]


def test_opening_in_an_evacuated_zone_is_found_between_bound_and_end(judge):
    judge.evacuations.append(promises.Order(zone="a", acknowledged_s=10.0, ended_s=20.0))
    for sent_s in (14.0, 16.0, 21.0):
        opening(judge, sent_s)
    opening(judge, 16.0, zone="b")
    assert names(judge) == ["evacuated"]


def test_openings_above_the_limit_of_a_cold_target_are_found():
    judge = promises.Judge(bounds={**processes.BOUNDS, "cold_overage": 1.5, "cold_slack": 1})
    for now_s in (1.0, 1.3, 4.0, 4.3):
        judge.cold_opening("t1", 1.0, now_s - 0.1, now_s)
    judge.cold_opening("t2", 1.0, 4.3, 4.4)
    # Sent before the second in which it arrived.
    judge.cold_opening("t1", 1.0, 2.0, 4.4)
    assert names(judge) == []
    judge.cold_opening("t1", 1.0, 4.4, 4.5)
    assert names(judge) == ["cold_limit"]


def test_reset_of_an_open_flow_is_excused_by_unplanned_disturbance_only(judge):
    reset = {"flow": "f", "port": 8000, "target": "h", "source": "e1", "entries": ("e1",)}
    judge.touch.hit("e1", 10.0)
    judge.foreign_reset(**reset, opened_s=9.0, now_s=11.0)
    assert names(judge) == []
    judge.touch.hit("e1", 20.0, is_planned=True)
    judge.foreign_reset(**reset, opened_s=19.0, now_s=21.0)
    assert names(judge) == ["flow_reset"]


def test_reset_of_a_flow_whose_route_was_removed_is_no_finding(judge):
    change(judge, _8001="x")
    reset = {"flow": "f", "port": 8000, "target": "h", "source": "e1", "entries": ("e1",)}
    judge.foreign_reset(**reset, opened_s=19.0, now_s=22.0)
    assert names(judge) == []


def test_refusal_is_found_while_the_route_and_a_target_are_there(judge):
    refused = {"entry": "e1", "sent_s": 10.0, "now_s": 10.1, "flow": "f"}
    judge.refused(**refused, port=8007, has_target=True)
    judge.refused(**refused, port=8000, has_target=False)
    assert names(judge) == []
    judge.refused(**refused, port=8000, has_target=True)
    assert names(judge) == ["refused_known"]


def test_older_and_other_rule_files_read_are_found(judge):
    change(judge, _8000="x")
    judge.read(20.4, 20.6, "c1", 1, b"1")
    judge.read(20.6, 20.7, "c1", 3, b"3")
    assert names(judge) == []
    judge.read(20.6, 20.7, "c1", 1, b"1")
    judge.read(20.6, 20.7, "c1", 3, b"other")
    assert names(judge) == ["read_older", "read_other"]


def test_work_that_may_run_once_is_found_when_it_runs_twice(judge):
    for job, is_safe in (("j1", True), ("j2", False)):
        for number in range(2):
            judge.ran(attempt=f"{job}.{number}", job=job, is_safe=is_safe, target="t", now_s=9.0)
    assert names(judge) == ["ran_twice"]


def test_work_that_was_refused_is_found_when_it_has_run_or_runs_later(judge):
    judge.ran(attempt="j1.0", job="j1", is_safe=True, target="t", now_s=9.0)
    judge.not_run("j1.0", "refused", 9.1)
    judge.not_run("j2.0", "refused", 9.1)
    judge.ran(attempt="j2.0", job="j2", is_safe=True, target="t", now_s=9.2)
    assert names(judge) == ["not_run_has_run"] * 2


def test_schedules_follow_from_the_seed():
    assert schedule.draw(5, 60) == schedule.draw(5, 60) != schedule.draw(6, 60)
    kinds = {fault.kind for seed in range(200) for fault in schedule.draw(seed, 60)}
    assert all(hasattr(run.Run, f"_play_{kind}") for kind in kinds)
    assert len(kinds) == 21


def test_schedule_is_shortened_to_the_faults_that_matter():
    faults = schedule.draw(5, 200)
    needed = {faults[2], faults[-1]}
    assert set(schedule.shorten(faults, lambda left: needed <= set(left))) == needed


def test_cuts_are_one_way_and_of_whole_zones():
    paths = net.Net(zone_of={"1": "a", "2": "a", "3": "b"})
    cut = paths.cut("1", "*")
    assert not paths.reaches("1", "3") and paths.reaches("3", "1")
    paths.heal(cut)
    paths.cut("a", "*")
    assert paths.reaches("1", "2") and paths.reaches("3", "1") and not paths.reaches("1", "3")


def test_a_vm_cut_from_other_vms_is_reached_by_operators():
    paths = net.Net(zone_of={"1": "a", "2": "a"})
    paths.cut("1", net.VMS)
    assert not paths.reaches("1", "2") and paths.reaches("1", "operator")


@pytest.fixture
def disk(tmp_path, monkeypatch):
    monkeypatch.setenv("SOAK_DISK", str(tmp_path / "disk.json"))
    return shim.FaultyStorage(folder=str(tmp_path / "data"))


def test_storage_loses_what_was_not_synced(disk, tmp_path):
    disk.append("log", b"one")
    disk.sync("log")
    disk.append("log", b"two")
    assert disk.read("log") == b"onetwo"
    assert (tmp_path / "data" / "log").read_bytes() == b"one"


def test_storage_refuses_writes_while_it_is_full(disk, tmp_path):
    (tmp_path / "disk.json").write_text('{"full": 1}')
    with pytest.raises(errors.StorageError):
        disk.append("log", b"one")
    (tmp_path / "disk.json").unlink()
    disk.append("log", b"one")
    assert disk.read("log") == b"one"


def test_torn_storage_keeps_a_beginning(tmp_path, monkeypatch):
    monkeypatch.setenv("SOAK_DISK", str(tmp_path / "disk.json"))
    monkeypatch.setenv("SOAK_TORN", "1")
    disk = shim.FaultyStorage(folder=str(tmp_path / "data"))
    data = random.Random(1).randbytes(1000)
    disk.append("log", data)
    kept = (tmp_path / "data" / "log").read_bytes()
    assert 0 < len(kept) < 1000 and data.startswith(kept) and disk.read("log") == data


def test_a_changed_packet_is_noticed_and_the_token_may_change():
    packet = wire.Packet(
        source=("1.2.3.4", 5), destination=("6.7.8.9", 10), flags=wire.SYN, seq=1, ack=0, data=b"x"
    )
    data = packet.encode()
    assert wire.decode(data) == packet
    assert wire.decode(data[:8] + b"\1\2\3\4" + data[12:]).is_whole
    assert not wire.decode(data[:-1] + b"y").is_whole


def test_a_peer_port_is_moved_behind_the_proxy():
    assert launcher.behind("127.70.1.3") == "127.70.101.3"


# The proxy between machines

MACHINE = "127.70.1.9"
CALLER = "127.70.2.9"


class Proxied:
    """A proxy, a connection through it from plain sockets, and what the loop was told."""

    def __init__(self):
        self.told = []
        self.listener = socket.create_server((launcher.behind(MACHINE), 0))
        self.listener.settimeout(5.0)
        self.port = self.listener.getsockname()[1]
        self.ends = []

    async def start(self):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: self.told.append(context))
        paths = net.Net(zone_of={MACHINE: "a"})
        await paths.proxy(MACHINE, self.port)
        self.ends.append(
            socket.create_connection((MACHINE, self.port), 5.0, source_address=(CALLER, 0))
        )
        return paths

    async def carry(self):
        """Carries a byte, so that the connection is open on both sides."""
        self.ends.append((await asyncio.to_thread(self.listener.accept))[0])
        self.ends[1].settimeout(5.0)
        self.ends[1].sendall(b"x")
        assert await asyncio.to_thread(self.ends[0].recv, 1) == b"x"

    def is_closed(self):
        for end in self.ends:
            try:
                if end.recv(1):
                    return False
            except ConnectionResetError:
                continue
            except TimeoutError:
                return False
        return True

    def close(self):
        for end in (*self.ends, self.listener):
            end.close()


@pytest.fixture
def proxied():
    found = Proxied()
    yield found
    found.close()


def test_proxy_with_an_open_connection_ends_quietly_and_closes_both_sides(proxied):
    async def play():
        paths = await proxied.start()
        await proxied.carry()
        paths.close()

    asyncio.run(play())
    assert proxied.told == []
    assert len(proxied.ends) == 2 and proxied.is_closed()


def test_cancelled_connection_of_a_proxy_closes_both_sides_by_itself(proxied):
    async def play():
        paths = await proxied.start()
        await proxied.carry()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        assert await asyncio.to_thread(proxied.is_closed)
        paths.close()

    asyncio.run(play())
    assert proxied.told == []


@pytest.mark.parametrize("iterations", range(6))
def test_new_connection_of_a_proxy_ends_quietly_however_far_it_has_come(proxied, iterations):
    def handlers():
        return [
            task
            for task in asyncio.all_tasks()
            if task.get_coro().cr_code.co_filename == net.__file__
        ]

    async def play():
        paths = await proxied.start()
        async with asyncio.timeout(5.0):
            while not handlers():
                await asyncio.sleep(0)
        # Seen in the iteration of the loop that created it: it has not taken its first step.
        states = [inspect.getcoroutinestate(task.get_coro()) for task in handlers()]
        assert states == [inspect.CORO_CREATED]
        for _ in range(iterations):
            await asyncio.sleep(0)
        for task in handlers():
            task.cancel()
        assert await asyncio.to_thread(proxied.is_closed)
        paths.close()

    asyncio.run(play())
    assert proxied.told == []


def test_failure_while_a_proxy_carries_is_told(proxied, monkeypatch):
    async def fail(*_):
        raise ValueError("broken")

    async def play():
        paths = await proxied.start()
        assert await asyncio.to_thread(proxied.is_closed)
        paths.close()

    monkeypatch.setattr(net.Net, "_pump", fail)
    asyncio.run(play())
    assert [str(context["exception"]) for context in proxied.told] == ["broken"]


# Real processes

SHORT = [
    schedule.Fault(at_s=0.5, kind="leave", place="0"),
    schedule.Fault(at_s=1.0, kind="cut", place="e1", length_s=1.0),
    schedule.Fault(at_s=2.0, kind="kill", place="c2"),
    schedule.Fault(at_s=2.5, kind="term", place="e3"),
]


@pytest.mark.skipif(not os.path.exists("/proc/self/schedstat"), reason="needs /proc")
def test_short_run_keeps_all_promises():
    result = run.Run(seed=11, faults=SHORT, seconds=7.0).play()
    assert result.findings == [], result.folder
    assert result.outcomes.get("served", 0) > 20


@pytest.mark.skipif(not os.path.exists("/proc/self/schedstat"), reason="needs /proc")
def test_packets_to_another_service_are_found_in_a_run_of_real_processes():
    names = mutations.MUTATIONS["wrong_service"].promises
    result = run.Run(
        seed=12, faults=[], seconds=30.0, mutation="wrong_service", stops_at=names
    ).play()
    assert run.fails(result, names)
