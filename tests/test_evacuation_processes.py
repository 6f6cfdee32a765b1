"""The programs as processes: an evacuation begins, outlives kills of everything, and ends."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest
from test_lean_daemons import free_port
from test_platform import BEAT, SETTINGS, document, route

ROOT = pathlib.Path(__file__).resolve().parent.parent
CONTROLS = ("127.0.0.71", "127.0.0.72", "127.0.0.73")
ENTRY = "127.0.0.74"
METRICS_PORT = 9464
LIMIT_S = 30.0


class Deployment:
    """Three control programs and an entry program, each a process with its settings file."""

    def __init__(self, folder):
        self.folder = folder
        self.ports = {"call": free_port(CONTROLS[0]), "peer": free_port(CONTROLS[0])}
        self.processes = {}

    def start(self, host, is_first=False):
        call = f"{host}:{self.ports['call']}"
        body = {
            **SETTINGS,
            "node_name": host,
            "ip": host,
            "zones": {"a": "east", "b": "east"},
            "listen": {"control_plane": call, "datagram_address": call, "ready": call},
            "internal_port_range": [self.ports["peer"], self.ports["peer"]],
            "seed_nodes": [f"{seed}:{self.ports['call']}" for seed in CONTROLS],
            "bootstrap": is_first,
            "data_directory": str(self.folder / host),
            "heartbeat_interval_ms": 300,
            "fault_tolerance": {"machines": 1},
        }
        path = self.folder / f"{host}.json"
        path.write_text(json.dumps(body))
        program = "entry.py" if host == ENTRY else "control.py"
        with open(self.folder / f"{host}.out", "ab") as output:
            self.processes[host] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / program)],
                env={**os.environ, "ZINNIASPOKE_BOOT": str(path)},
                stdout=output,
                stderr=output,
            )

    def kill_all(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
            process.wait()
        self.processes = {}

    def call(self, host, method, path, body=b"", port=None):
        try:
            connection = http.client.HTTPConnection(host, port or self.ports["call"], timeout=2.0)
            connection.request(method, path, body)
            response = connection.getresponse()
            return response.status, response.read()
        except OSError:
            return 0, b""

    def until(self, condition):
        deadline_s = time.monotonic() + LIMIT_S
        while not condition():
            assert time.monotonic() < deadline_s, "not in time"
            time.sleep(0.05)

    def ask(self, method, path, body=b""):
        """Calls one control VM after the other until one answers for certain."""
        found = []

        def is_answered():
            found[:] = [
                status
                for host in CONTROLS
                if (status := self.call(host, method, path, body)[0]) not in (0, 503)
            ]
            return found

        self.until(is_answered)
        return set(found)

    def announce(self):
        beat = json.dumps(BEAT).encode()
        self.call(CONTROLS[0], "PUT", "/api/instances/i-7f3a91c2", beat)

    def is_ready(self):
        self.announce()
        return self.call(ENTRY, "GET", "/api/readiness")[0] == 200

    def evacuated_count(self):
        text = self.call(ENTRY, "GET", "/metrics", port=METRICS_PORT)[1].decode()
        rows = [line.split() for line in text.splitlines()]
        return next((float(r[1]) for r in rows if r[0] == "zinniaspoke_evacuated_zones"), None)


@pytest.fixture
def deployment(tmp_path):
    made = Deployment(tmp_path)
    yield made
    made.kill_all()


def test_evacuation_outlives_kills_of_all_processes_and_then_ends(deployment):
    for host in (*CONTROLS, ENTRY):
        deployment.start(host, is_first=host in CONTROLS)
    assert deployment.ask("PUT", "/api/config", document(route())) == {200}
    deployment.until(deployment.is_ready)
    assert deployment.ask("POST", "/api/evacuations/a") == {200}
    deployment.until(lambda: deployment.evacuated_count() == 1)
    deployment.kill_all()
    for host in (*CONTROLS, ENTRY):
        deployment.start(host)
    deployment.until(deployment.is_ready)
    # Not ready before it knows.
    assert deployment.evacuated_count() == 1
    assert deployment.ask("DELETE", "/api/evacuations/a") == {200}
    deployment.until(lambda: deployment.evacuated_count() == 0)
