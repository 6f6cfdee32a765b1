"""The persistent log: torn writes at its end are truncated, other corruption is an error."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import errors, log, storage
from zinniaspoke.proto import control_pb2


def entry(index, term=1, content=b"x"):
    file = control_pb2.RuleFile(number=index, content=content)
    return control_pb2.LogEntry(index=index, term=term, rule_file=file)


def filled_log(count=5):
    disk = storage.MemoryStorage(rng=random.Random(1))
    written = log.Log(files=disk)
    for index in range(1, count + 1):
        written.append([entry(index, content=b"content " * 4)])
    return disk, written


@given(st.integers(0, 300), st.integers(1, 300))
def test_batch_with_a_lost_range_is_truncated_completely(start, length):
    """After a power loss any range of an unsynced write may be zeros."""
    disk, written = filled_log()
    kept_bytes = len(disk.read(log.LOG))
    written.append([entry(index, content=b"c" * 40) for index in range(6, 16)])
    batch = bytearray(disk.read(log.LOG)[kept_bytes:])
    end = min(start + length, len(batch))
    if not any(batch[start:end]):
        return
    batch[start:end] = bytes(len(batch[start:end]))
    disk.truncate(log.LOG, kept_bytes)
    disk.append(log.LOG, bytes(batch))
    disk.sync(log.LOG)
    assert log.Log(files=disk).last_index == 5


class FullDisk(storage.MemoryStorage):
    """While full, writes half of the data of each append and then fails."""

    is_full = False

    def append(self, name, data):
        if self.is_full:
            super().append(name, data[: len(data) // 2])
            raise errors.StorageError(step="append", peer=name, reason="no space left")
        super().append(name, data)


def test_partial_append_is_not_recovered():
    disk = FullDisk(rng=random.Random(1))
    written = log.Log(files=disk)
    written.append([entry(1)])
    disk.is_full = True
    for _ in range(3):
        with pytest.raises(errors.StorageError):
            written.append([entry(2, content=b"refused")])
    assert written.last_index == 1
    disk.is_full = False
    written.append([entry(2, content=b"taken")])
    again = log.Log(files=disk)
    assert [e.rule_file.content for e in again.entries_between(1, 9)] == [b"x", b"taken"]


@given(st.integers(1, 60))
def test_torn_write_is_truncated_and_appends_continue(lost_bytes):
    disk, written = filled_log()
    size_bytes = len(disk.read(log.LOG))
    disk.truncate(log.LOG, size_bytes - lost_bytes)
    again = log.Log(files=disk)
    assert again.last_index == 5 - (1 + (lost_bytes - 1) // (size_bytes // 5))
    again.append([entry(again.last_index + 1)])
    assert log.Log(files=disk).last_index == again.last_index


@pytest.mark.parametrize("offset", [0, 4, 9, 60, 100])
def test_corruption_before_valid_records_is_an_error_with_file_and_offset(offset):
    disk, _ = filled_log()
    disk.corrupt(log.LOG, offset)
    with pytest.raises(errors.CorruptionError, match="log at offset"):
        log.Log(files=disk)


@pytest.mark.parametrize("name", [log.SNAPSHOT, log.STATE, log.IDENTITY])
def test_corrupt_single_records_are_errors(name):
    disk, written = filled_log()
    written.set_state(3, "a/1")
    replica_set = control_pb2.ReplicaSet(voters=["a/1"])
    written.install_snapshot(
        control_pb2.Snapshot(last_index=2, last_term=1, replica_set=replica_set)
    )
    assert log.Log(files=disk).last_index == 5
    disk.corrupt(name, 9)
    with pytest.raises(errors.CorruptionError, match=name):
        log.Log(files=disk)


def test_entries_after_a_snapshot_survive_a_crash_while_it_is_installed():
    for point in range(1, 30):
        disk, written = filled_log()
        disk.crash_at = disk.operation_count + point
        replica_set = control_pb2.ReplicaSet(voters=["a/1"])
        snapshot = control_pb2.Snapshot(last_index=3, last_term=1, replica_set=replica_set)
        try:
            written.install_snapshot(snapshot)
        except storage.SimulatedCrash:
            disk.crash()
        assert log.Log(files=disk).last_index == 5


def test_entries_that_conflict_with_the_snapshot_are_dropped():
    disk, written = filled_log()
    replica_set = control_pb2.ReplicaSet(voters=["a/1"])
    stored = control_pb2.Snapshot(last_index=3, last_term=2, replica_set=replica_set)
    disk.replace(log.SNAPSHOT, log.encode_record(stored.SerializeToString()))
    assert log.Log(files=disk).last_index == 3


def test_data_folder_is_locked_by_one_process_and_must_be_writable(tmp_path):
    folder = str(tmp_path / "data")
    held = storage.DiskStorage(folder=folder)
    with pytest.raises(errors.StorageError, match="lock data folder"):
        storage.DiskStorage(folder=folder)
    held.close()
    (tmp_path / "file").write_text("")
    with pytest.raises(errors.StorageError, match="open data folder"):
        storage.DiskStorage(folder=str(tmp_path / "file"))


def test_log_is_read_back_from_disk(tmp_path):
    files = storage.DiskStorage(folder=str(tmp_path))
    written = log.Log(files=files)
    written.append([entry(1), entry(2)])
    written.truncate_from(2)
    written.append([entry(2, term=2), entry(3, term=2)])
    written.set_state(2, "a/1")
    files.close()
    files = storage.DiskStorage(folder=str(tmp_path))
    again = log.Log(files=files)
    assert (again.last_index, again.last_term, again.state.term) == (3, 2, 2)
    assert again.identity == written.identity
    files.close()
