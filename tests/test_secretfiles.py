"""Secrets in a folder: what was withdrawn is not used again after a restart."""

import os

import pytest

from zinniaspoke import datagrams, errors, secretfiles
from zinniaspoke.proto import peer_pb2


@pytest.fixture
def folder(tmp_path):
    path = tmp_path / "secrets"
    secretfiles.create(str(path), ["ledger", "archive"])
    return path


def write(path, data):
    path.write_bytes(data)
    os.chmod(path, 0o600)


def authenticator(folder, sender_id):
    keys = secretfiles.load(str(folder)).datagram_keys
    return datagrams.Authenticator(keys=keys, sender_id=sender_id, incarnation=1)


def test_withdrawn_datagram_key_is_not_accepted_after_a_restart(folder):
    withdrawn = authenticator(folder, 1).sign(peer_pb2.Datagram())
    write(folder / secretfiles.DATAGRAM_KEY, os.urandom(32))
    restarted = authenticator(folder, 2)
    with pytest.raises(errors.DatagramError, match="signature"):
        restarted.verify(withdrawn, "peer")


def test_withdrawn_announcement_token_is_not_known_after_a_restart(folder):
    assert set(secretfiles.load(str(folder)).announce_tokens) == {"ledger", "archive"}
    (token,) = folder.glob("announce-archive*")
    token.unlink()
    assert set(secretfiles.load(str(folder)).announce_tokens) == {"ledger"}
