"""Authentication of control datagrams and steered packets: keyed hashes, replay, key rotation."""

import pytest

from zinniaspoke import datagrams, errors, geneve, packets
from zinniaspoke.proto import peer_pb2

OLD, NEW = b"old key of 16 by", b"new key of 16 by"


def authenticator(sender_id, *keys, incarnation=1):
    return datagrams.Authenticator(sender_id=sender_id, incarnation=incarnation, keys=keys)


def heartbeat():
    return peer_pb2.Datagram(heartbeat=peer_pb2.Heartbeat(state=2))


def test_key_rotation_accepts_datagrams_throughout():
    first, second = authenticator(1, OLD), authenticator(2, OLD)
    assert second.verify(first.sign(heartbeat()), "p").sender_id == 1
    second.keys = (OLD, NEW)
    first.keys = (NEW, OLD)
    assert second.verify(first.sign(heartbeat()), "p").sender_id == 1
    assert first.verify(second.sign(heartbeat()), "p").sender_id == 2
    first.keys = second.keys = (NEW,)
    assert second.verify(first.sign(heartbeat()), "p").sender_id == 1
    with pytest.raises(errors.DatagramError, match="signature"):
        second.verify(authenticator(3, OLD).sign(heartbeat()), "p")


def test_replays_and_earlier_incarnations_are_rejected():
    first, second = authenticator(1, OLD), authenticator(2, OLD)
    data = [first.sign(heartbeat()) for _ in range(3)]
    for index in (2, 0, 1):
        second.verify(data[index], "p")
    for index in range(3):
        with pytest.raises(errors.DatagramError, match="replay"):
            second.verify(data[index], "p")
    restarted = authenticator(1, OLD, incarnation=2)
    second.verify(restarted.sign(heartbeat()), "p")
    with pytest.raises(errors.DatagramError, match="old_incarnation"):
        second.verify(first.sign(heartbeat()), "p")


def test_modified_steered_packet_is_rejected_or_loses_its_option():
    inner = packets.build_udp(
        source=b"\1\1\1\1",
        source_port=b"\0\1",
        destination=b"\2\2\2\2",
        destination_port=b"\0\2",
    )
    steering = geneve.Steering(
        step=geneve.Step.SEEK, hop_count=3, origin_id=9, target_tag=7, visited_ids=(1, 2, 3)
    )
    data = geneve.encapsulate_steered(inner, steering, OLD)
    assert geneve.decapsulate(data, (NEW, OLD)) == geneve.Frame(inner=inner, steering=steering)
    for index in range(8, len(data)):
        changed = data[:index] + bytes([data[index] ^ 1]) + data[index + 1 :]
        try:
            frame = geneve.decapsulate(changed, (OLD,))
        except errors.PacketError:
            continue
        assert frame.steering is None
