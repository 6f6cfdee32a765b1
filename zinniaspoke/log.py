"""The persistent replicated log: checksummed records, a snapshot and the hard state."""

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
MAX_RECORD_BYTES = 64 * 1024 * 1024
_HEADER = struct.Struct("!II")


def encode_record(payload: bytes) -> bytes:
    """Encodes a payload as a record: its length, a CRC-32 over length and payload, the payload.

    Args:
        payload: The payload.

    Returns:
        The encoded record.
    """
    length = struct.pack("!I", len(payload))
    return _HEADER.pack(len(payload), zlib.crc32(length + payload)) + payload


def _encode_batch(entries: list[control_pb2.LogEntry]) -> bytes:
    """Encodes entries as one record, so that after a torn write either all or none are read."""
    return encode_record(control_pb2.LogBatch(entries=entries).SerializeToString())


def _decode_record(data: bytes, offset: int) -> bytes | errors.Nothing:
    """Returns the payload of the record at an offset, or why there is no valid record."""
    if offset + _HEADER.size > len(data):
        return errors.Nothing(reason="torn")
    length, checksum = _HEADER.unpack_from(data, offset)
    end = offset + _HEADER.size + length
    if length > MAX_RECORD_BYTES or end > len(data):
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
class DecodedRecords:
    """The valid records at the beginning of a file.

    Attributes:
        payloads: The records' payloads.
        end_offsets: Offset of the first byte after each record.
    """

    payloads: list[bytes]
    end_offsets: list[int]


def decode_records(data: bytes, name: str) -> DecodedRecords:
    """Decodes records up to the end of the data or a torn write.

    Args:
        data: The file's bytes.
        name: The file's name, for errors.

    Returns:
        The valid records. Bytes after them are from a torn write and have to be truncated.

    Raises:
        errors.CorruptionError: A record is invalid and valid ones follow it, so it is not the
            result of a torn write.
    """
    payloads: list[bytes] = []
    end_offsets: list[int] = []
    offset = 0
    while offset < len(data):
        payload = _decode_record(data, offset)
        if payload is None or isinstance(payload, errors.Nothing):
            if _has_record_after(data, offset):
                raise _corruption_error(name, offset, "invalid record followed by valid ones")
            break
        offset += _HEADER.size + len(payload)
        payloads.append(payload)
        end_offsets.append(offset)
    return DecodedRecords(payloads=payloads, end_offsets=end_offsets)


def _corruption_error(name: str, offset: int, reason: str) -> errors.CorruptionError:
    return errors.CorruptionError(
        step="read back state", peer=f"{name} at offset {offset}", reason=reason
    )


class Log:
    """The entries after a snapshot, in memory and on storage, with the snapshot and hard state.

    Attributes:
        identity: Random identity of this data folder, in hexadecimal.
        state: Raft's hard state: the current term and the vote in it.
        snapshot: The snapshot that precedes the entries; empty if there is none.
    """

    def __init__(self, *, files: storage.Storage) -> None:
        """Recovers the log from storage, generating an identity if there is none.

        Args:
            files: The data folder.

        Raises:
            errors.CorruptionError: A stored record is corrupt.
        """
        self._files = files
        # Set while the log file may hold bytes that memory lacks, such as part of a failed append.
        self._needs_rewrite = False
        self.identity = self._read_identity()
        self.state = control_pb2.HardState.FromString(self._read_single_record(STATE))
        self.snapshot = control_pb2.Snapshot.FromString(self._read_single_record(SNAPSHOT))
        self._entries: list[control_pb2.LogEntry] = []
        self._end_offsets: list[int] = []
        self._read_log()

    def _read_identity(self) -> str:
        stored = self._files.read(IDENTITY)
        if stored is not storage.MISSING:
            return self._decode_single_record(IDENTITY, stored).decode()
        identity = os.urandom(IDENTITY_BYTES).hex()
        self._files.replace(IDENTITY, encode_record(identity.encode()))
        return identity

    def _read_single_record(self, name: str) -> bytes:
        stored = self._files.read(name)
        if stored is storage.MISSING:
            return b""
        return self._decode_single_record(name, stored)

    @staticmethod
    def _decode_single_record(name: str, stored: bytes) -> bytes:
        payload = _decode_record(stored, 0)
        if isinstance(payload, errors.Nothing):
            raise _corruption_error(name, 0, "record is truncated or fails its checksum")
        return payload

    def _read_log(self) -> None:
        stored = self._files.read(LOG)
        if stored is storage.MISSING:
            return
        records = decode_records(stored, LOG)
        size_bytes = records.end_offsets[-1] if records.end_offsets else 0
        if size_bytes < len(stored):
            self._files.truncate(LOG, size_bytes)
            self._files.sync(LOG)
        entries: list[control_pb2.LogEntry] = []
        end_offsets: list[int] = []
        for payload, end in zip(records.payloads, records.end_offsets, strict=True):
            batch = control_pb2.LogBatch.FromString(payload).entries
            entries.extend(batch)
            end_offsets.extend([end] * len(batch))
        kept = self._entries_after_snapshot(entries)
        for entry in kept:
            if entry.index != self.last_index + 1:
                reason = f"entry {entry.index} follows entry {self.last_index}"
                raise _corruption_error(LOG, 0, reason)
            self._entries.append(entry)
        if len(kept) < len(entries):
            self._rewrite()
        else:
            self._end_offsets = end_offsets

    def _entries_after_snapshot(
        self, entries: list[control_pb2.LogEntry]
    ) -> list[control_pb2.LogEntry]:
        """Returns the entries after the snapshot, or none if they conflict with its last entry."""
        last_index, last_term = self.snapshot.last_index, self.snapshot.last_term
        for entry in entries:
            if entry.index == last_index and entry.term != last_term:
                return []
        return [entry for entry in entries if entry.index > last_index]

    def _rewrite(self) -> None:
        """Replaces the log file by one with the entries in memory."""
        self._needs_rewrite = True
        record = _encode_batch(self._entries) if self._entries else b""
        self._files.replace(LOG, record)
        self._needs_rewrite = False
        self._end_offsets = [len(record)] * len(self._entries)

    @property
    def is_empty(self) -> bool:
        """Whether this replica has never stored an entry, a term or a snapshot."""
        return self.last_index == 0 and self.state.term == 0 and not self.has_snapshot

    @property
    def has_snapshot(self) -> bool:
        """Whether there is a snapshot; every snapshot has at least one voter."""
        return bool(self.snapshot.replica_set.voters)

    @property
    def size_bytes(self) -> int:
        """Size of the log file, up to the last entry."""
        return self._end_offsets[-1] if self._end_offsets else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none after it."""
        return self._entries[-1].index if self._entries else self.snapshot.last_index

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none after it."""
        return self._entries[-1].term if self._entries else self.snapshot.last_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry.

        Args:
            index: The entry's index.

        Returns:
            Its term, or None if the entry is compacted or not in the log yet.
        """
        if index == self.snapshot.last_index:
            return self.snapshot.last_term
        offset = index - self.snapshot.last_index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def entries_between(self, first: int, last: int) -> list[control_pb2.LogEntry]:
        """Returns the entries from one index to another, both included.

        Args:
            first: Index of the first entry; entries up to the snapshot are left out.
            last: Index of the last entry; later than the log's end is allowed.
        """
        start = first - self.snapshot.last_index - 1
        return self._entries[max(0, start) : last - self.snapshot.last_index]

    def set_state(self, term: int, voted_for: str) -> None:
        """Persists the term and vote; Raft requires this before a message may depend on them.

        Args:
            term: Current term.
            voted_for: Member that this replica voted for in the term, or empty.
        """
        state = control_pb2.HardState(term=term, voted_for=voted_for)
        self._files.replace(STATE, encode_record(state.SerializeToString()))
        self.state = state

    def append(self, entries: list[control_pb2.LogEntry]) -> None:
        """Appends entries and syncs the log file.

        Args:
            entries: Consecutive entries, the first of which follows the last one of the log.

        Raises:
            errors.StorageError: The entries could not be written; the log in memory is unchanged.
        """
        if not entries:
            return
        if self._needs_rewrite:
            self._rewrite()
        record = _encode_batch(entries)
        end = self.size_bytes + len(record)
        self._needs_rewrite = True
        self._files.append(LOG, record)
        self._files.sync(LOG)
        self._needs_rewrite = False
        self._entries.extend(entries)
        self._end_offsets.extend([end] * len(entries))

    def truncate_from(self, index: int) -> None:
        """Removes an entry and all later ones.

        Args:
            index: Index of the first entry to remove, after the snapshot.
        """
        offset = index - self.snapshot.last_index - 1
        del self._entries[offset:]
        del self._end_offsets[offset:]
        self._rewrite()

    def install_snapshot(self, snapshot: control_pb2.Snapshot) -> None:
        """Stores a snapshot and removes the entries that it covers.

        Later entries are kept only if the log holds the snapshot's last entry with the same term.

        Args:
            snapshot: A snapshot that is not older than the current one.
        """
        keeps_tail = self.term_at(snapshot.last_index) == snapshot.last_term
        tail = self.entries_between(snapshot.last_index + 1, self.last_index) if keeps_tail else []
        self._files.replace(SNAPSHOT, encode_record(snapshot.SerializeToString()))
        self.snapshot = snapshot
        self._entries = list(tail)
        # The rewrite sets the offsets in the new file; those of the old file do not apply to it.
        self._end_offsets = [0] * len(tail)
        self._rewrite()
