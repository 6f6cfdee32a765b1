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
    "zone": [None, 7],
    "version": [None, 1],
    "slots": [None, "2", 0, -1, 1 << 64],
    "cold_remaining_ms": [None, "long", float("inf"), float("nan"), 10**400],
}
ODD_ADDRESSES = ["1.2.3.\u00b2:80", "1.2.3.4:\u00b2", "\uff11.2.3.4:80"]


@pytest.mark.parametrize(("field", "value"), [(f, v) for f, vs in WRONG.items() for v in vs])
def test_announcement_with_a_wrong_field_names_no_target(field, value):
    with pytest.raises(errors.AnnouncementError, match=field):
        record(**{field: value})


@pytest.mark.parametrize("field", sorted(set(BEAT) - {"born"}))
def test_announcement_that_lacks_a_field_names_no_target(field):
    """Guards against another writer's announcement that moves a target to another service."""
    body = {name: value for name, value in BEAT.items() if name != field}
    with pytest.raises(errors.AnnouncementError, match=field):
        announcement.decode("i-7f3a91c2", json.dumps(body).encode(), 0.0)


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_address_of_digits_that_are_not_ascii_names_no_target(address):
    with pytest.raises(errors.AnnouncementError, match="address"):
        record(address=address)


DEEP = b"[" * 200_000


@pytest.mark.parametrize(
    "data", [b"", b"\xff", b"[]", b"5", b"{}", b'{"service":', pytest.param(DEEP, id="deep")]
)
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


def with_services(*services):
    body = json.loads(document(route()))
    body["services"] = list(services)
    return json.dumps(body).encode()


def test_bounds_of_cold_targets_become_a_line_of_their_service():
    data = with_services(
        {"name": "ledger", "cold_start_s": 2.0, "cold_per_s": 0.0}, {"name": "archive"}
    )
    file = manifest.compile_rules(data)
    parsed = rules.parse(file.number, file.content)
    options = rules.ServiceOptions(cold_per_s=0.0, cold_start_s=2.0)
    assert parsed.service_options == {"ledger": options}
    assert manifest.source_of(file) == data


def test_manifest_without_these_fields_gives_the_same_rule_file_as_before():
    file = manifest.compile_rules(document(route()))
    assert file.content.count(b"\n") == 0
    assert b"service " not in file.content


def test_service_that_is_listed_twice_has_the_options_of_its_last_entry():
    data = with_services({"name": "ledger", "cold_per_s": 1}, {"name": "ledger", "cold_per_s": 2})
    file = manifest.compile_rules(data)
    assert rules.parse_services(file.content)["ledger"].cold_per_s == 2.0


@pytest.mark.parametrize("value", ["2", -1, True, [], float("nan")])
def test_bound_that_is_no_number_is_refused(value):
    with pytest.raises(errors.RuleError):
        manifest.compile_rules(with_services({"name": "ledger", "cold_per_s": value}))


@pytest.mark.parametrize(
    ("kind", "is_idempotent"),
    [("safe", True), ("download", True), ("unsafe", False), ("upload", False), (..., False)],
)
def test_what_callers_may_repeat_follows_from_the_kind_of_a_route(kind, is_idempotent):
    file = manifest.compile_rules(document(route(route_type=kind)))
    (rule,) = rules.parse(file.number, file.content).rules.values()
    assert rule.idempotent is is_idempotent


def test_urgency_and_times_of_a_route_become_options_where_they_matter():
    times = {"timeout_ms": 8381, "target_latency_ms": 2095}
    file = manifest.compile_rules(
        document(
            route(route_type="upload", priority=2, **times),
            route(route_type="unsafe", priority=1, path_prefix="/444/", **times),
            route(route_type="download", priority=3, path_prefix="/445/", **times),
            route(route_type="safe", priority=2, path_prefix="/446/", **times),
        )
    )
    upload, unsafe, download, safe = rules.parse(file.number, file.content).rules.values()
    assert (upload.is_bulk, upload.aim_s, upload.deadline_s) == (True, 2.095, 8.381)
    assert [rule.urgency for rule in (upload, unsafe, download, safe)] == [2, 1, 3, 2]
    # Downloads send little through entry VMs, so nothing of theirs is held.
    assert not download.is_bulk
    assert download.is_long
    assert b"urgency" not in file.content.splitlines()[3]
    assert b"aim_s" not in file.content.splitlines()[1]


@pytest.mark.parametrize("value", [..., None, -1, 1.5, 17, "high", True])
def test_priority_that_is_none_of_the_levels_is_taken_as_not_given(value):
    file = manifest.compile_rules(document(route(route_type="safe", priority=value)))
    (rule,) = rules.parse(file.number, file.content).rules.values()
    assert rule.urgency == rules.DEFAULT_URGENCY


@pytest.mark.parametrize("value", [..., None, 0, -5, "soon"])
def test_upload_without_an_aim_is_served_as_before(value):
    file = manifest.compile_rules(document(route(route_type="upload", target_latency_ms=value)))
    (rule,) = rules.parse(file.number, file.content).rules.values()
    assert not rule.is_bulk


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
    assert control.zones == ()
    path.write_text(json.dumps({**SETTINGS, "zones": {"b": "east", "a": "east"}}))
    assert settings.load_control().zones == ("a", "b")
    # Earlier deployments name no bounds of cold targets.
    assert control.cold_overage is entry.cold_overage is None


def test_bounds_of_cold_targets_are_read_by_both_programs(tmp_path, monkeypatch):
    path = tmp_path / "settings.json"
    bounds = {**SETTINGS["bounds"], "cold_overage": 1.5, "cold_slack": 5}
    path.write_text(json.dumps({**SETTINGS, "bounds": bounds}))
    monkeypatch.setenv(settings.VARIABLE, str(path))
    for read in (settings.load_control(), settings.load_entry()):
        assert (read.cold_overage, read.cold_slack) == (1.5, 5.0)


@pytest.mark.parametrize(("field", "value"), [("cold_overage", -1.0), ("cold_slack", -1)])
def test_bounds_below_zero_are_refused(tmp_path, monkeypatch, field, value):
    path = tmp_path / "settings.json"
    bounds = {**SETTINGS["bounds"], "cold_overage": 1.5, "cold_slack": 5, field: value}
    path.write_text(json.dumps({**SETTINGS, "bounds": bounds}))
    monkeypatch.setenv(settings.VARIABLE, str(path))
    with pytest.raises(errors.SettingsError, match=field):
        settings.load_entry()


@pytest.mark.parametrize(("value", "expected"), [(None, False), ("no", False), ("yes", True)])
def test_shared_evidence_is_on_where_operators_ask_for_it(tmp_path, monkeypatch, value, expected):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv(settings.VARIABLE, str(path))
    monkeypatch.delenv(settings.EVIDENCE_VARIABLE, raising=False)
    if value is not None:
        monkeypatch.setenv(settings.EVIDENCE_VARIABLE, value)
    assert settings.load_entry().shared_evidence is expected
    assert settings.load_control().shared_evidence is expected


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


@pytest.mark.parametrize(
    ("times", "aim_s", "deadline_s"),
    [
        ({"target_latency_ms": 200, "timeout_ms": 2**31 - 1}, 0.2, 0.0),
        ({"target_latency_ms": 10**9, "timeout_ms": 3000}, 0.0, 0.0),
        ({"target_latency_ms": 5e-324, "timeout_ms": 3000}, 0.0, 0.0),
        ({"target_latency_ms": 999_999_000, "timeout_ms": 999_999_900}, 999_999.0, 0.0),
    ],
)
def test_times_beyond_what_rules_hold_are_taken_as_not_given(times, aim_s, deadline_s):
    """The manifest is valid, so it must not be refused for its hints."""
    file = manifest.compile_rules(document(route(route_type="upload", **times)))
    (rule,) = rules.parse(file.number, file.content).rules.values()
    assert (rule.aim_s, rule.deadline_s) == (aim_s, deadline_s)


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
