"""Authentication of control datagrams: a keyed hash before a protobuf body, and a replay window."""

import hashlib

import attrs
from google.protobuf import message

from zinniaspoke import errors
from zinniaspoke.proto import peer_pb2

HASH_BYTES = 16
REPLAY_WINDOW = 1024
SIZE_LIMIT_BYTES = 1400


@attrs.define(kw_only=True, slots=True)
class _ReplayWindow:
    incarnation: int
    highest: int = 0
    seen: set[int] = attrs.field(factory=set)


class Authenticator:
    """Signs outgoing control datagrams and verifies incoming ones.

    Attributes:
        keys: Secret keys that are currently valid; the first one signs.
    """

    def __init__(self, *, sender_id: int, incarnation: int, keys: tuple[bytes, ...]) -> None:
        """Creates an authenticator that has seen no datagrams.

        Args:
            sender_id: This VM's member id.
            incarnation: Number that increases with every start of this VM.
            keys: Secret keys that are currently valid; the first one signs.
        """
        self._sender_id = sender_id
        self._incarnation = incarnation
        self._counter = 0
        self._windows: dict[int, _ReplayWindow] = {}
        self.keys = keys

    def sign(self, datagram: peer_pb2.Datagram) -> bytes:
        """Assigns the next counter to a datagram and signs it.

        Args:
            datagram: The datagram; sender, incarnation and counter are filled in.

        Returns:
            The bytes to send.
        """
        self._counter += 1
        datagram.sender_id = self._sender_id
        datagram.incarnation = self._incarnation
        datagram.counter = self._counter
        body = datagram.SerializeToString()
        return _keyed_hash(self.keys[0], body) + body

    def verify(self, data: bytes, peer: str) -> peer_pb2.Datagram:
        """Verifies and decodes a received datagram.

        Args:
            data: The received bytes.
            peer: The sender's endpoint, for the error.

        Returns:
            The datagram.

        Raises:
            errors.DatagramError: The keyed hash is wrong, the body is malformed, or the datagram
                is this VM's own, a replay or from an earlier incarnation.
        """
        digest, body = data[:HASH_BYTES], data[HASH_BYTES:]
        if not any(_keyed_hash(key, body) == digest for key in self.keys):
            raise _error(peer, "signature")
        try:
            datagram = peer_pb2.Datagram.FromString(body)
        except message.DecodeError as error:
            raise _error(peer, "malformed") from error
        self._check_replay(datagram, peer)
        return datagram

    def _check_replay(self, datagram: peer_pb2.Datagram, peer: str) -> None:
        if datagram.sender_id == self._sender_id:
            raise _error(peer, "own_datagram")
        window = self._windows.get(datagram.sender_id)
        if window is None or datagram.incarnation > window.incarnation:
            window = _ReplayWindow(incarnation=datagram.incarnation)
            self._windows[datagram.sender_id] = window
        if datagram.incarnation < window.incarnation:
            raise _error(peer, "old_incarnation")
        if datagram.counter in window.seen or datagram.counter <= window.highest - REPLAY_WINDOW:
            raise _error(peer, "replay")
        window.seen.add(datagram.counter)
        window.highest = max(window.highest, datagram.counter)
        if len(window.seen) > 2 * REPLAY_WINDOW:
            lowest_valid = window.highest - REPLAY_WINDOW
            window.seen = {counter for counter in window.seen if counter > lowest_valid}


def _keyed_hash(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=HASH_BYTES, key=key).digest()


def _error(peer: str, reason: str) -> errors.DatagramError:
    return errors.DatagramError(step="verify datagram", peer=peer, reason=reason)
