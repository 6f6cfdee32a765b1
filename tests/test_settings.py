"""Settings: refused whole, with the key's path, before any socket opens."""

import json
import pathlib

import pytest

from zinniaspoke import cli, errors, settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
ENTRY = {
    "name": "e",
    "zone": "a",
    "host": "127.0.0.1",
    "data_port": 6081,
    "control_port": 6082,
    "http_port": 6083,
    "fabric": {"host": "127.0.0.2", "port": 6081},
    "fabric_hosts": ["127.0.0.2"],
    "seeds": [],
    "control_replicas": [],
    "secrets_folder": "secrets",
}
CONTROL = {
    "name": "a",
    "zone": "a",
    "replicas": [{"name": n, "host": "127.0.0.1", "port": 7070 + i} for i, n in enumerate("abc")],
    "data_folder": "data",
    "secrets_folder": "secrets",
}


def write(folder, body):
    path = folder / "settings.json"
    path.write_text(body if isinstance(body, str) else json.dumps(body))
    return str(path)


def test_good_settings(tmp_path):
    assert settings.load_entry(write(tmp_path, ENTRY)).limits.flow_count == 300_000
    assert settings.load_control(write(tmp_path, CONTROL)).own.port == 7070


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"nmae": "e"}, r"nmae\) @ \$"),
        ({"limits": {"flow_count": "9"}}, r"\$.limits.flow_count"),
        ({"limits": {"flow_count": 0}}, r"\$.limits.flow_count"),
        ({"limits": {"flows": 1}}, r"\$.limits"),
        ({"host": "localhost"}, r"\$.host"),
        ({"data_port": 70000}, r"\$.data_port"),
        ({"data_port": True}, r"\$.data_port"),
        ({"control_port": 6081}, r"\$.control_port"),
        ({"fabric": {"host": "127.0.0.1", "port": 6081}}, r"\$.fabric"),
        ({"fabric": {"host": "127.0.0.2"}}, r"\$.fabric.port"),
        ({"fabric_hosts": ["127.0.0.1"]}, r"\$.fabric_hosts"),
        ({"seeds": [{"host": "x", "port": 1}]}, r"\$.seeds\[0\].host"),
        ({"placement_policy": "best"}, r"\$.placement_policy"),
        ({"name": 3}, r"\$.name"),
    ],
)
def test_wrong_entry_settings_name_the_key(tmp_path, capsys, change, path):
    file = write(tmp_path, ENTRY | change)
    with pytest.raises(errors.SettingsError, match=path):
        settings.load_entry(file)
    assert cli.main(["entry", f"--settings={file}"]) == cli.EXIT_USAGE
    assert "check settings" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"name": "d"}, r"\$.name"),
        ({"replicas": CONTROL["replicas"][:1]}, r"\$.replicas"),
        ({"replicas": CONTROL["replicas"][:1] * 3}, r"\$.replicas\[1\]"),
        ({"replicas": [{"name": "/", "host": "::1", "port": 1}] * 3}, r"\$.replicas\[0\].name"),
    ],
)
def test_wrong_control_settings_name_the_key(tmp_path, change, path):
    with pytest.raises(errors.SettingsError, match=path):
        settings.load_control(write(tmp_path, CONTROL | change))


def test_missing_and_broken_files(tmp_path):
    with pytest.raises(errors.SettingsError, match="No such file"):
        settings.load_entry(str(tmp_path / "none.json"))
    with pytest.raises(errors.SettingsError, match="not JSON"):
        settings.load_entry(write(tmp_path, "{"))
    assert cli.main(["entry"]) == cli.EXIT_USAGE
    assert cli.main(["entyr"]) == cli.EXIT_USAGE


def test_examples_are_valid():
    entries = sorted(EXAMPLES.glob("*/entry-*.json"))
    controls = sorted(EXAMPLES.glob("*/control-*.json"))
    assert (len(entries), len(controls)) == (12, 6)
    hosts = {(s.host, s.data_port) for s in map(settings.load_entry, map(str, entries))}
    owns = {s.own for s in map(settings.load_control, map(str, controls))}
    assert (len(hosts), len(owns)) == (12, 6)
    for file in EXAMPLES.glob("*/*.rules"):
        assert cli.main(["check", str(file)]) == cli.EXIT_OK
