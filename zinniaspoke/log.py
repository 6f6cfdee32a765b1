"""The replicated log on storage: checksummed records, a snapshot and the hard state."""

import os
import struct
import zlib

import attrs

from zinniaspoke import errors, storage
from zinniaspoke.proto import control_pb2

LOG = "log"
STATE = "state"
SNAPSHOT = "snapshot"
IDENTITY = "identity"
IDENTITY_BYTES = 4
RECORD_LIMIT_BYTES = 64 * 1024 * 1024
_HEADER = struct.Struct("!II")


def encode_record(payload: bytes) -> bytes:
    """Frames a payload with its length and a checksum over both.

    Args:
        payload: The payload.

    Returns:
        The record.
    """
    length = struct.pack("!I", len(payload))
    return _HEADER.pack(len(payload), zlib.crc32(length + payload)) + payload


def _encode_batch(entries: list[control_pb2.LogEntry]) -> bytes:
    """Frames entries as one record, so that a torn write leaves all of them or none."""
    return encode_record(control_pb2.LogBatch(entries=entries).SerializeToString())


def _decode_record(data: bytes, offset: int) -> bytes | errors.Nothing:
    """Reads the record at an offset, or tells why there is none."""
    if offset + _HEADER.size > len(data):
        return errors.Nothing(reason="torn")
    length, checksum = _HEADER.unpack_from(data, offset)
    end = offset + _HEADER.size + length
    if length > RECORD_LIMIT_BYTES or end > len(data):
        return errors.Nothing(reason="torn")
    payload = data[offset + _HEADER.size : end]
    if zlib.crc32(data[offset : offset + 4] + payload) != checksum:
        return errors.Nothing(reason="checksum" if end < len(data) else "torn")
    return payload


def _has_record_after(data: bytes, offset: int) -> bool:
    return any(
        data[at : at + _HEADER.size].strip(b"\0") and _decode_record(data, at)
        for at in range(offset + 1, len(data) - _HEADER.size)
    )


@attrs.frozen(kw_only=True)
class Tail:
    """What could be read of a record file.

    Attributes:
        payloads: The records' payloads.
        ends: Offset after each record.
    """

    payloads: list[bytes]
    ends: list[int]


def decode_records(data: bytes, name: str) -> Tail:
    """Reads records up to a torn tail.

    Args:
        data: The file's bytes.
        name: The file's name, for the error.

    Returns:
        The whole records; what comes after them was torn and is to be cut.

    Raises:
        errors.CorruptionError: A record is damaged and whole ones follow it.
    """
    payloads: list[bytes] = []
    ends: list[int] = []
    offset = 0
    while offset < len(data):
        payload = _decode_record(data, offset)
        if payload is None or isinstance(payload, errors.Nothing):
            if _has_record_after(data, offset):
                raise _corruption(name, offset, "damaged record")
            break
        offset += _HEADER.size + len(payload)
        payloads.append(payload)
        ends.append(offset)
    return Tail(payloads=payloads, ends=ends)


def _corruption(name: str, offset: int, reason: str) -> errors.CorruptionError:
    return errors.CorruptionError(
        step="read back state", peer=f"{name} at offset {offset}", reason=reason
    )


class Log:
    """Entries after a snapshot, kept in memory and on storage."""

    def __init__(self, *, files: storage.Storage) -> None:
        """Reads back what storage holds.

        Args:
            files: The data folder.

        Raises:
            errors.CorruptionError: Stored bytes are damaged.
        """
        self._files = files
        # Set while the file may hold bytes that are not in memory, after a write that failed.
        self._is_doubtful = False
        self.identity = self._read_identity()
        self.state = control_pb2.HardState.FromString(self._read_single(STATE))
        self.snapshot = control_pb2.Snapshot.FromString(self._read_single(SNAPSHOT))
        self._entries: list[control_pb2.LogEntry] = []
        self._ends: list[int] = []
        self._read_log()

    def _read_identity(self) -> str:
        stored = self._files.read(IDENTITY)
        if stored is not storage.MISSING:
            return self._decode_single(IDENTITY, stored).decode()
        identity = os.urandom(IDENTITY_BYTES).hex()
        self._files.replace(IDENTITY, encode_record(identity.encode()))
        return identity

    def _read_single(self, name: str) -> bytes:
        stored = self._files.read(name)
        if stored is storage.MISSING:
            return b""
        return self._decode_single(name, stored)

    @staticmethod
    def _decode_single(name: str, stored: bytes) -> bytes:
        payload = _decode_record(stored, 0)
        if isinstance(payload, errors.Nothing):
            raise _corruption(name, 0, "damaged record")
        return payload

    def _read_log(self) -> None:
        stored = self._files.read(LOG)
        if stored is storage.MISSING:
            return
        tail = decode_records(stored, LOG)
        size_bytes = tail.ends[-1] if tail.ends else 0
        if size_bytes < len(stored):
            self._files.truncate(LOG, size_bytes)
            self._files.sync(LOG)
        entries: list[control_pb2.LogEntry] = []
        ends: list[int] = []
        for payload, end in zip(tail.payloads, tail.ends, strict=True):
            batch = control_pb2.LogBatch.FromString(payload).entries
            entries.extend(batch)
            ends.extend([end] * len(batch))
        kept = self._after_snapshot(entries)
        for entry in kept:
            if entry.index != self.last_index + 1:
                reason = f"entry {entry.index} after {self.last_index}"
                raise _corruption(LOG, 0, reason)
            self._entries.append(entry)
        if len(kept) < len(entries):
            self._rewrite()
        else:
            self._ends = ends

    def _after_snapshot(self, entries: list[control_pb2.LogEntry]) -> list[control_pb2.LogEntry]:
        """Leaves out what the snapshot covers, and a tail that does not continue it."""
        last_index, last_term = self.snapshot.last_index, self.snapshot.last_term
        for entry in entries:
            if entry.index == last_index and entry.term != last_term:
                return []
        return [entry for entry in entries if entry.index > last_index]

    def _rewrite(self) -> None:
        """Writes the log anew with the entries that are kept."""
        self._is_doubtful = True
        record = _encode_batch(self._entries) if self._entries else b""
        self._files.replace(LOG, record)
        self._is_doubtful = False
        self._ends = [len(record)] * len(self._entries)

    @property
    def is_empty(self) -> bool:
        """Whether this replica has never held anything."""
        return self.last_index == 0 and self.state.term == 0 and not self.has_snapshot

    @property
    def has_snapshot(self) -> bool:
        """Whether there is a snapshot."""
        return bool(self.snapshot.replica_set.voters)

    @property
    def size_bytes(self) -> int:
        """Bytes of the entries after the snapshot."""
        return self._ends[-1] if self._ends else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._entries[-1].index if self._entries else self.snapshot.last_index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot.last_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry.

        Args:
            index: The entry's index.

        Returns:
            Its term, or None where it is not known any more or not yet.
        """
        if index == self.snapshot.last_index:
            return self.snapshot.last_term
        offset = index - self.snapshot.last_index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def between(self, first: int, last: int) -> list[control_pb2.LogEntry]:
        """Returns the entries of a range.

        Args:
            first: First index, after the snapshot.
            last: Last index.
        """
        start = first - self.snapshot.last_index - 1
        return self._entries[max(0, start) : last - self.snapshot.last_index]

    def set_state(self, term: int, voted_for: str) -> None:
        """Keeps term and vote, lastingly, before anyone is told.

        Args:
            term: Current term.
            voted_for: Whom this replica voted for in it, or empty.
        """
        state = control_pb2.HardState(term=term, voted_for=voted_for)
        self._files.replace(STATE, encode_record(state.SerializeToString()))
        self.state = state

    def append(self, entries: list[control_pb2.LogEntry]) -> None:
        """Adds entries after the last one, lastingly.

        Args:
            entries: Consecutive entries.
        """
        if not entries:
            return
        if self._is_doubtful:
            self._rewrite()
        record = _encode_batch(entries)
        end = self.size_bytes + len(record)
        self._is_doubtful = True
        self._files.append(LOG, record)
        self._files.sync(LOG)
        self._is_doubtful = False
        self._entries.extend(entries)
        self._ends.extend([end] * len(entries))

    def truncate_from(self, index: int) -> None:
        """Drops an entry and all after it.

        Args:
            index: The entry's index, after the snapshot.
        """
        offset = index - self.snapshot.last_index - 1
        del self._entries[offset:]
        del self._ends[offset:]
        self._rewrite()

    def install(self, snapshot: control_pb2.Snapshot) -> None:
        """Puts a snapshot in place of the entries that it covers.

        Args:
            snapshot: A snapshot not older than the present one.
        """
        keeps_tail = self.term_at(snapshot.last_index) == snapshot.last_term
        tail = self.between(snapshot.last_index + 1, self.last_index) if keeps_tail else []
        self._files.replace(SNAPSHOT, encode_record(snapshot.SerializeToString()))
        self.snapshot = snapshot
        self._entries = list(tail)
        # Offsets of the old file say nothing about the new entries.
        self._ends = [0] * len(tail)
        self._rewrite()
