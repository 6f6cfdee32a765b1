"""The adapter: packets, announcements, manifests, settings, and which modules the programs load."""

import json
import pathlib
import signal
import subprocess
import sys

import announcement
import manifest
import packet
import pytest
import settings
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import errors, roster, rules, steering

ROOT = pathlib.Path(__file__).resolve().parent.parent
SYN = bytes.fromhex("112233440000000000000000a1b2c3d500002000000064400007c612000101bb9c41")
RESET = bytes.fromhex("00000000000000000000000000000000000080000000c6120001644000079c4101bb")


def record(**values):
    return announcement.decode("i-7f3a91c2", json.dumps({**BEAT, **values}).encode(), 5.0)


BEAT = {
    "service": "ledger",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 4,
    "born": 1700000000000,
}


def test_opening_gets_number_and_token_of_its_target_and_is_otherwise_unchanged():
    codec, target = packet.Codec(), record()
    read = codec.decode(SYN)
    assert (read.kind, read.token) == (steering.Kind.OPENING, 0)
    assert read.route == bytes((198, 18, 0, 1)) + (443).to_bytes(2, "big")
    sent = codec.to_target(SYN, target, read.kind)
    assert sent[:8] == (0x7F3A91C2).to_bytes(8, "big")
    assert sent[8:16] + sent[20:] == SYN[:8] + SYN[12:]
    assert int.from_bytes(sent[16:20], "big") == target.token != 0


def test_later_packets_keep_the_token_that_the_caller_returns():
    data = bytearray(SYN + b"abc")
    data[18], data[16:18], data[8:12] = 2, (3).to_bytes(2, "big"), b"\1\2\3\4"
    codec = packet.Codec()
    read = codec.decode(bytes(data))
    assert (read.kind, read.token) == (steering.Kind.DATA, 0x01020304)
    assert codec.to_target(bytes(data), record(), read.kind)[8:] == bytes(data)


def test_refusal_is_the_platforms_reset():
    codec = packet.Codec()
    assert codec.reset(codec.decode(SYN)) == ("100.64.0.7", RESET)
    repeated = SYN[:4] + (2).to_bytes(4, "big") + SYN[8:]
    assert codec.reset(codec.decode(repeated)) == ("100.64.0.7", RESET)


def test_reset_of_an_open_flow_stands_at_what_its_caller_has_acknowledged():
    codec = packet.Codec()
    data = bytearray(SYN)
    data[18], data[4:8] = packet.ACK, (0xFFFF1234).to_bytes(4, "big")
    caller, reset = codec.reset(codec.decode(bytes(data)))
    assert caller == "100.64.0.7"
    assert reset == (0xFFFF1234).to_bytes(4, "big") + RESET[4:]


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "packet_short"),
        (SYN[:33], "packet_short"),
        (SYN + b"x", "packet_length_wrong"),
        (SYN[:16] + b"\xff\xff" + SYN[18:], "packet_length_wrong"),
        (SYN[:18] + bytes((packet.SYN | packet.ACK,)) + SYN[19:], "packet_not_from_caller"),
        (SYN[:18] + bytes((packet.BOUNCED,)) + SYN[19:], "packet_not_from_caller"),
    ],
)
def test_datagrams_that_are_no_callers_packet_are_told_apart(data, reason):
    assert packet.Codec().decode(data).reason == reason


@given(st.binary(max_size=1400))
def test_any_datagram_is_read_or_refused_with_a_reason(data):
    found = packet.Codec().decode(data)
    assert isinstance(found, steering.Packet) or found.reason


def test_announcement_is_decoded():
    target = record(state="draining")
    assert target.address == ("10.128.0.9", 8080)
    assert (target.state, target.warm_at_s) == (roster.State.DRAINING, 6.5)
    assert (target.started_ms, target.sequence) == (1700000000000, 4)


WRONG = {
    "service": [None, 5, ["ledger"]],
    "address": [None, "10.128.0.9", "10.128.0.9:0", "host:80", "10.128.0.999:80", 7, "1.2.3.4:x"],
    "state": [None, "up", 1],
    "sequence": [None, "4", 1.5, True],
    "born": ["soon", 1.5, None, True],
    "slots": ["2"],
    "cold_remaining_ms": ["long"],
}


@pytest.mark.parametrize(("field", "value"), [(f, v) for f, vs in WRONG.items() for v in vs])
def test_announcement_with_a_wrong_field_names_no_target(field, value):
    with pytest.raises(errors.AnnouncementError, match=field):
        record(**{field: value})


@pytest.mark.parametrize("data", [b"", b"\xff", b"[]", b"5", b"{}", b'{"service":'])
def test_announcement_that_is_no_object_names_no_target(data):
    with pytest.raises(errors.AnnouncementError):
        announcement.decode("i-1", data, 0.0)


@pytest.mark.parametrize("identity", ["", "i-", "i-xyz", "i-" + "f" * 17])
def test_target_without_a_number_names_no_target(identity):
    with pytest.raises(errors.AnnouncementError):
        announcement.decode(identity, json.dumps(BEAT).encode(), 0.0)


@given(st.binary(max_size=200))
def test_any_announcement_is_taken_or_refused(data):
    with pytest.raises(errors.AnnouncementError):
        announcement.decode("i-1", data, 0.0)


def route(**values):
    made = {
        "name": "r-1",
        "hostname": "198.18.0.1",
        "path_prefix": "/443/",
        "route_type": "safe",
        "timeout_ms": 100,
        "service": "ledger",
    }
    made.update(values)
    return {k: v for k, v in made.items() if v is not ...}


def document(*routes, version=7, services=("ledger", "archive")):
    body = {
        "version": version,
        "routes": list(routes),
        "services": [{"name": name, "health_path": "/health"} for name in services],
        "limits": {"idle_timeout_ms": 15000},
    }
    return json.dumps(body).encode()


def test_manifest_becomes_a_rule_file_and_is_kept_byte_for_byte():
    split = [{"service": "ledger", "weight": 90}, {"service": "archive", "weight": 10}]
    data = document(
        route(), route(path_prefix="/444/", service=..., weighted_services=split), version=12
    )
    file = manifest.compile_rules(data)
    parsed = rules.parse(file.number, file.content)
    assert file.number == 12
    assert [rule.port for rule in parsed.rules.values()] == [443, 444]
    assert list(parsed.rules.values())[1].split == (("ledger", 90), ("archive", 10))
    assert manifest.source_of(file) == data
    assert manifest.services_of(file) == {"ledger", "archive"}


@pytest.mark.parametrize(
    ("kind", "is_idempotent"),
    [("safe", True), ("download", True), ("unsafe", False), ("upload", False), (..., False)],
)
def test_what_callers_may_repeat_follows_from_the_kind_of_a_route(kind, is_idempotent):
    file = manifest.compile_rules(document(route(route_type=kind)))
    (rule,) = rules.parse(file.number, file.content).rules.values()
    assert rule.idempotent is is_idempotent


def test_weights_that_are_fractions_keep_their_proportion():
    split = [{"service": "ledger", "weight": 0.75}, {"service": "archive", "weight": 0.25}]
    file = manifest.compile_rules(document(route(service=..., weighted_services=split)))
    (rule,) = rules.parse(file.number, file.content).rules.values()
    assert rule.split == (("ledger", 750), ("archive", 250))


NO_WEIGHT = [{"service": "ledger", "weight": 0}]
INVALID = {
    "cut short": document(route())[:-9],
    "not an object": b"[1]",
    "empty": b"",
    "no routes": json.dumps({"version": 1, "services": []}).encode(),
    "unknown service": document(route(service="nobody")),
    "unknown split": document(
        route(service=..., weighted_services=[{"service": "nobody", "weight": 1}])
    ),
    "same place": document(route(), route(name="r-2", service="archive")),
    "no time": document(route(timeout_ms=0)),
    "time missing": document(route(timeout_ms=...)),
    "time is text": document(route(timeout_ms="5")),
    "no weight": document(route(service=..., weighted_services=NO_WEIGHT)),
    "negative weight": document(
        route(service=..., weighted_services=[{"service": "ledger", "weight": -1}])
    ),
    "no service": document(route(service=...)),
    "no port": document(route(path_prefix="/x/")),
    "no host": document(route(hostname="nowhere")),
    "version is text": document(route(), version="7"),
    "version is a truth": document(route(), version=True),
    "version is 0": document(route(), version=0),
    "version is huge": document(route(), version=2**70),
    "routes are text": json.dumps({"version": 1, "routes": "r", "services": []}).encode(),
}


@pytest.mark.parametrize("name", INVALID)
def test_invalid_manifest_is_refused_with_a_reason(name):
    with pytest.raises(errors.RuleError) as caught:
        manifest.compile_rules(INVALID[name])
    assert caught.value.reason


@given(st.integers(0, 400))
def test_manifest_cut_anywhere_is_refused(length):
    data = document(route())
    with pytest.raises(errors.RuleError):
        manifest.compile_rules(data[: min(length, len(data) - 1)])


SETTINGS = {
    "node_name": "x-1",
    "zone": "a",
    "ip": "10.1.0.12",
    "listen": {"control_plane": "10.1.0.12:8166", "datagram_address": "10.1.0.12:1",
               "ready": "10.1.0.12:2"},
    "internal_port_range": [7720, 7735],
    "seed_nodes": ["10.1.0.12:8166", "10.2.0.42:8166"],
    "bootstrap": True,
    "data_directory": "/data/x",
    "heartbeat_interval_ms": 1200,
    "fault_tolerance": {"machines": 2},
    "bounds": {"flow_lifetime_s": 60, "contact_window_ms": 4000, "grace_period_s": 6},
    "config_mode": "highest",
    "limits": {"link_bandwidth_mbps": 2.0, "memory_mb": 120},
    "something_new": 5,
}  # fmt: skip


def test_settings_are_read(tmp_path, monkeypatch):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv(settings.VARIABLE, str(path))
    control, entry = settings.load_control(), settings.load_entry()
    assert control.peer_name == "10.1.0.12:7720"
    assert control.seeds == ("10.1.0.12:7720", "10.2.0.42:7720")
    assert (control.voter_count, control.may_bootstrap) == (5, True)
    assert (entry.packets, entry.ready) == (("10.1.0.12", 1), ("10.1.0.12", 2))
    assert entry.link_bytes_per_s == 250_000


@pytest.mark.parametrize("missing", ["ip", "bounds", "seed_nodes", "internal_port_range"])
def test_settings_that_lack_something_are_refused(tmp_path, monkeypatch, missing):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({k: v for k, v in SETTINGS.items() if k != missing}))
    monkeypatch.setenv(settings.VARIABLE, str(path))
    with pytest.raises(errors.SettingsError, match=missing):
        settings.load_entry()


HEAVY = ("ssl", "grpc", "aiohttp", "opentelemetry", "eliot", "cattrs", "hypothesis", "yaml")


def loaded(program):
    """Starts a program without settings, so that it ends once all is loaded."""
    script = (
        "import atexit, runpy, sys; sys.path.insert(0, 'platform');"
        "atexit.register(lambda: print(*(m for m in sys.modules if sys.modules[m])));"
        f"runpy.run_path('platform/{program}', run_name='__main__')"
    )
    done = subprocess.run(
        [sys.executable, "-c", script],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={settings.VARIABLE: "/nonexistent"},
    )
    assert "SettingsError" in done.stderr
    return set(done.stdout.split())


@pytest.mark.parametrize("program", ["entry.py", "control.py"])
def test_programs_load_nothing_heavy(program):
    modules = loaded(program)
    assert "zinniaspoke.adapters.links" in modules
    assert not modules & set(HEAVY)


def test_entry_program_loads_no_protobuf_and_no_agreement():
    modules = loaded("entry.py")
    assert not {m for m in modules if m.startswith("google.protobuf")}
    assert not modules & {"zinniaspoke.consensus", "zinniaspoke.log", "zinniaspoke.storage"}


def test_platform_is_no_package():
    assert not (ROOT / "platform" / "__init__.py").exists()


@pytest.mark.parametrize("program", ["control", "entry"])
def test_settings_that_change_while_a_program_starts_do_not_end_it(program):
    """Found by the soak: SIGHUP came before the handler and ended the process."""
    hangup = 1 << (signal.SIGHUP - 1)
    command = [sys.executable, "-X", "importtime", f"platform/{program}.py"]
    started = subprocess.Popen(
        command, cwd=ROOT, stderr=subprocess.PIPE, env={"ZINNIASPOKE_BOOT": "/dev/null"}
    )
    # The first module of the product; most of a start is still to come.
    for line in started.stderr:
        if b"zinniaspoke.errors" in line:
            break
    status = pathlib.Path(f"/proc/{started.pid}/status").read_text()
    masks = dict(line.split(":\t") for line in status.splitlines() if line.startswith("Sig"))
    started.kill()
    started.stderr.close()
    started.wait()
    assert (int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)) & hangup
