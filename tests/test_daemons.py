"""The daemons on real sockets, driven as an operator and targets drive them."""

import asyncio
import datetime
import ipaddress
import json
import os

import aiohttp
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from zinniaspoke import cli, errors, porcelain, secretfiles, settings
from zinniaspoke.proto import control_pb2

NET = f"127.{64 + os.getpid() % 128}"
RULES = "10.0.0.1:80 tcp ledger # ana: counters\n"
LIMIT_S = 20.0


def write_certificate(folder):
    """Writes a key and a certificate that signs itself, for all addresses used here."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "test")])
    now = datetime.datetime.now(datetime.UTC)
    names = [x509.IPAddress(ipaddress.ip_address(f"{NET}.7.{n}")) for n in (1, 2, 11, 12, 13)]
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName(names), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    private = key.private_bytes(
        pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    (folder / "key.pem").write_bytes(private)
    (folder / "certificate.pem").write_bytes(certificate.public_bytes(pem))
    return {
        "certificate_file": str(folder / "certificate.pem"),
        "key_file": str(folder / "key.pem"),
        "ca_file": str(folder / "certificate.pem"),
    }


def write_settings(folder, tls=None, secrets_folder=None):
    secrets = secrets_folder or str(folder / "secrets")
    secretfiles.create(secrets, ["ledger"])
    replicas = [{"name": f"c{n}", "host": f"{NET}.7.1{n}", "port": 7070} for n in (1, 2, 3)]
    controls = {
        replica["name"]: {
            "name": replica["name"],
            "zone": "a",
            "replicas": replicas,
            "data_folder": str(folder / replica["name"]),
            "secrets_folder": secrets,
            "tls": tls,
        }
        for replica in replicas
    }
    entry = {
        "name": "entry-1",
        "zone": "a",
        "host": f"{NET}.7.2",
        "data_port": 6081,
        "control_port": 6082,
        "http_port": 6083,
        "fabric": {"host": f"{NET}.7.3", "port": 6081},
        "fabric_hosts": [f"{NET}.7.3"],
        "seeds": [],
        "control_replicas": [{"host": r["host"], "port": r["port"]} for r in replicas],
        "secrets_folder": secrets,
        "tls": tls,
    }
    operator = {
        "entry_vms": [{"host": entry["host"], "port": 6083}],
        "control_replicas": entry["control_replicas"],
        "secrets_folder": secrets,
        "tls": tls,
    }
    bodies = {**controls, "entry": entry, "operator": operator}
    for name, body in bodies.items():
        (folder / f"{name}.json").write_text(json.dumps(body))
    (folder / "rules").write_text(RULES)
    return (
        [settings.load_control(str(folder / f"{name}.json")) for name in controls],
        settings.load_entry(str(folder / "entry.json")),
        settings.load_operator(str(folder / "operator.json")),
    )


async def wait_for(condition):
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.02)


class Running:
    """A control replica and an entry VM that run while a test needs them."""

    def __init__(self, folder, tls=None):
        self.folder = folder
        controls, entry, self.operator = write_settings(folder, tls)
        self.controls = [porcelain.build_control(control) for control in controls]
        self.entry = porcelain.build_entry(entry)

    async def __aenter__(self):
        for control in self.controls:
            await control.start()
        await self.entry.start()
        reply = await porcelain.submit(self.operator, 1, str(self.folder / "rules"))
        assert reply.outcome == control_pb2.SUBMIT_OUTCOME_YES
        await wait_for(lambda: self.entry.core.book.number == 1)
        return self

    async def __aexit__(self, *_):
        await self.entry.stop()
        for control in self.controls:
            await control.stop()

    async def announce(self, token=None, **change):
        token = token if token is not None else self.token("announce-ledger")
        body = {
            "address": "10.9.0.1",
            "port": 80,
            "service": "ledger",
            "incarnation": 1,
            "sequence": 1,
            "state": "ready",
            **change,
        }
        url = f"http://{NET}.7.2:6083/targets"
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        async with (
            aiohttp.ClientSession() as session,
            session.put(url, json=body, headers=headers) as answer,
        ):
            return answer.status, (await answer.json()).get("error", "")

    def token(self, name):
        return (self.folder / "secrets" / f"{name}.token").read_text().strip()


def test_announcements_are_taken_and_refused(tmp_path):
    async def run():
        async with Running(tmp_path) as running:
            assert (await running.announce())[0] == 200
            refusals = [
                (await running.announce(token=""), 401, "no token"),
                (await running.announce(token="x"), 401, "wrong token"),
                (await running.announce(service="other"), 401, "no token is set"),
                (await running.announce(state="asleep"), 400, "state is one of"),
                (await running.announce(address="host"), 400, "not an IP number"),
                (await running.announce(port="80"), 400, "$.port"),
                (await running.announce(extra=1), 400, "extra"),
                (await running.announce(lease_s=0), 400, "lease_s"),
            ]
            for (status, error), expected, words in refusals:
                assert status == expected, error
                assert words in error
            found = await porcelain.status_of_all(running.operator)
            assert [t.name for t in found.targets()] == ["ledger@10.9.0.1/1"]

    asyncio.run(run())


def test_operator_commands_over_tls(tmp_path):
    async def run():
        async with Running(tmp_path, write_certificate(tmp_path)) as running:
            await running.announce()
            operator = running.operator
            shown = await porcelain.show(operator)
            assert (shown.file.number, shown.is_majority) == (1, True)
            await porcelain.hold_target(operator, "ledger@10.9.0.1/1", True)
            (target,) = (await porcelain.status_of_all(operator)).targets()
            assert target.state == "drained by operator"
            with pytest.raises(errors.Error, match="did you mean 'ledger@10.9.0.1/1'"):
                await porcelain.hold_target(operator, "ledger@10.9.0.1/2", True)
            (flow,) = await porcelain.explain(operator, "tcp 100.64.0.1:1000 10.0.0.1:80")
            assert (flow.home, flow.placer, flow.base) == ("entry-1", "entry-1", target.name)
            page = (await porcelain.report(operator)).to_html()
            assert page.startswith("<!doctype html>")
            await porcelain.drain_vm(operator, "entry-1")
            await asyncio.wait_for(running.entry.wait_ended(), LIMIT_S)

    asyncio.run(run())


def test_wrong_tokens_and_missing_tls_are_refused(tmp_path):
    async def run():
        async with Running(tmp_path, write_certificate(tmp_path)) as running:
            other = tmp_path / "other"
            other.mkdir()
            _, _, stranger = write_settings(other, tls_body(running))
            reply = await porcelain.submit(stranger, 2, str(tmp_path / "rules"))
            assert reply.outcome == control_pb2.SUBMIT_OUTCOME_NO
            assert "no valid token for submit" in reply.reason
            found = await porcelain.status_of_all(stranger)
            assert list(found.silent.values()) == ["wrong operator token"]
            assert [r.role for r in found.replicas] == ["UNAUTHENTICATED"] * 3
            plain = settings.OperatorSettings(
                entry_vms=(),
                control_replicas=running.operator.control_replicas,
                secrets_folder=running.operator.secrets_folder,
            )
            with pytest.raises(errors.Error, match="none answered"):
                await porcelain.show(plain)

    asyncio.run(run())


def tls_body(running):
    tls = running.operator.tls
    return {
        "certificate_file": tls.certificate_file,
        "key_file": tls.key_file,
        "ca_file": tls.ca_file,
    }


def test_ports_and_folders_in_use_are_told_with_step_and_peer(tmp_path):
    async def run():
        async with Running(tmp_path) as running:
            with pytest.raises(errors.Error, match="open UDP socket .*:6081"):
                await porcelain.build_entry(running.entry.config).start()
            with pytest.raises(errors.StorageError, match="lock data folder"):
                await porcelain.build_control(running.controls[0].config).start()

    asyncio.run(run())


def test_restart_from_the_disk_holds_what_was_accepted(tmp_path):
    async def run():
        async with Running(tmp_path):
            pass
        async with Running(tmp_path) as again:
            cores = [control.core for control in again.controls]
            await wait_for(lambda: all(core.history.number == 1 for core in cores))

    asyncio.run(run())


def test_operator_evacuates_a_zone_and_gives_it_back(tmp_path):
    async def run():
        async with Running(tmp_path) as running:
            await running.announce(zone="a")
            operator, core = running.operator, running.entry.core
            yes = control_pb2.SUBMIT_OUTCOME_YES
            for _ in range(2):
                assert (await porcelain.order_zone(operator, "a", True)).outcome == yes
            await wait_for(lambda: core.evacuated_zones == {"a"})
            found = await porcelain.status_of_all(operator)
            assert found.evacuated_zones() == ("a",)
            assert [t.state for t in found.targets()] == ["zone evacuated"]
            assert (await porcelain.order_zone(operator, "a", False)).outcome == yes
            await wait_for(lambda: not core.evacuated_zones)
            found = await porcelain.status_of_all(operator)
            assert [t.state for t in found.targets()] == ["ready"]
            core.install_places(1, ("a",))
            assert not core.evacuated_zones
            with pytest.raises(errors.ZoneError):
                await porcelain.order_zone(operator, "a/b", True)

    asyncio.run(run())


def test_zone_orders_need_the_submit_token(tmp_path):
    async def run():
        async with Running(tmp_path) as running:
            other = tmp_path / "other"
            other.mkdir()
            _, _, stranger = write_settings(other, None)
            reply = await porcelain.order_zone(stranger, "a", True)
            assert reply.outcome == control_pb2.SUBMIT_OUTCOME_NO
            assert "no valid token for submit" in reply.reason
            assert not running.entry.core.evacuated_zones

    asyncio.run(run())


@pytest.mark.parametrize(
    ("outcome", "status", "word"),
    [
        (control_pb2.SUBMIT_OUTCOME_YES, cli.EXIT_OK, "yes: because"),
        (control_pb2.SUBMIT_OUTCOME_NO, cli.EXIT_NO, "no: because"),
        (control_pb2.SUBMIT_OUTCOME_UNKNOWN, cli.EXIT_UNKNOWN, "unknown: give the order again"),
    ],
)
@pytest.mark.parametrize("command", ["evacuate", "restore"])
def test_commands_for_zones_print_the_answer(
    tmp_path, monkeypatch, capsys, command, outcome, status, word
):
    asked = []

    async def order_zone(config, zone, is_evacuated):
        asked.append((zone, is_evacuated))
        return control_pb2.SubmitReply(outcome=outcome, reason="because")

    monkeypatch.setattr(porcelain, "order_zone", order_zone)
    monkeypatch.setattr(settings, "load_operator", lambda path: None)
    assert cli.main([command, "--settings=x", "a"]) == status
    assert capsys.readouterr().out.startswith(word)
    assert asked == [("a", command == "evacuate")]
