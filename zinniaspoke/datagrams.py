"""Control datagrams: protobuf bodies with a keyed hash and a replay window."""

import hashlib

import attrs
from google.protobuf import message

from zinniaspoke import errors
from zinniaspoke.proto import peer_pb2

TAG_BYTES = 16
REPLAY_WINDOW = 1024
SIZE_LIMIT_BYTES = 1400


@attrs.define(kw_only=True, slots=True)
class _Window:
    incarnation: int
    highest: int = 0
    seen: set[int] = attrs.field(factory=set)


class Authenticator:
    """Signs outgoing datagrams and checks incoming ones."""

    def __init__(self, *, sender_id: int, incarnation: int, keys: tuple[bytes, ...]) -> None:
        """Sets identity and secrets.

        Args:
            sender_id: This VM's member id.
            incarnation: Rises with every start of this VM.
            keys: Secrets that are valid now; the first signs.
        """
        self._sender_id = sender_id
        self._incarnation = incarnation
        self._counter = 0
        self._windows: dict[int, _Window] = {}
        self.keys = keys

    def sign(self, datagram: peer_pb2.Datagram) -> bytes:
        """Numbers and signs a datagram.

        Args:
            datagram: The body; sender, incarnation and counter are filled in.

        Returns:
            The bytes to send.
        """
        self._counter += 1
        datagram.sender_id = self._sender_id
        datagram.incarnation = self._incarnation
        datagram.counter = self._counter
        body = datagram.SerializeToString()
        return _tag(self.keys[0], body) + body

    def verify(self, data: bytes, peer: str) -> peer_pb2.Datagram:
        """Checks a datagram.

        Args:
            data: The received bytes.
            peer: Where they came from, for the error.

        Returns:
            The body.

        Raises:
            errors.DatagramError: The hash is wrong, the body malformed, or it came before.
        """
        tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
        if not any(_tag(key, body) == tag for key in self.keys):
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
            window = _Window(incarnation=datagram.incarnation)
            self._windows[datagram.sender_id] = window
        if datagram.incarnation < window.incarnation:
            raise _error(peer, "old_incarnation")
        if datagram.counter in window.seen or datagram.counter <= window.highest - REPLAY_WINDOW:
            raise _error(peer, "replay")
        window.seen.add(datagram.counter)
        window.highest = max(window.highest, datagram.counter)
        if len(window.seen) > 2 * REPLAY_WINDOW:
            floor = window.highest - REPLAY_WINDOW
            window.seen = {counter for counter in window.seen if counter > floor}


def _tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=TAG_BYTES, key=key).digest()


def _error(peer: str, reason: str) -> errors.DatagramError:
    return errors.DatagramError(step="open datagram", peer=peer, reason=reason)
