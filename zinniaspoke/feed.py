"""Updates from control VMs to their followers, and between control VMs: targets and rules."""

import binascii
import functools
import json
import zlib
from collections.abc import Iterable

import attrs

from zinniaspoke import errors, roster, siblings

# The fastest; rule files shrink to a sixth by it.
COMPRESSION_LEVEL = 1


@attrs.frozen(kw_only=True)
class Observation:
    """A target as one control VM sees it.

    Attributes:
        target: The record; ``warm_at_s`` is on the reader's clock.
        age_s: Time since it was heard of.
        is_silent: Whether its announcements have stopped.
    """

    target: roster.Target
    age_s: float
    is_silent: bool


@attrs.frozen(kw_only=True)
class Update:
    """What a control VM tells.

    Attributes:
        observations: Targets that changed, or all of them at the start of a connection.
        controls: Names of the control VMs, HOST:PORT.
        number: Number of the rule file that the sender holds.
        content: The rule file's bytes, where the reader is not known to hold it.
        is_current: Whether the sender hears a leader with a majority.
        is_complete: Whether the sender knows all targets that others know.
        entry_vms: Entry VMs of the reader's zone where they changed, else None.
    """

    observations: tuple[Observation, ...] = ()
    controls: tuple[str, ...] = ()
    number: int = 0
    content: bytes | None = None
    is_current: bool = False
    is_complete: bool = False
    entry_vms: tuple[siblings.Sibling, ...] | None = None


def to_observation(entry: roster.Entry, now_s: float) -> Observation:
    """Tells of a roster's entry.

    Args:
        entry: The entry.
        now_s: Current time.
    """
    return Observation(
        target=entry.target, age_s=max(0.0, now_s - entry.heard_s), is_silent=entry.is_silent
    )


def _pack(observation: Observation, now_s: float) -> list[object]:
    target = observation.target
    return [
        target.identity,
        target.started_ms,
        target.sequence,
        target.service,
        *target.address,
        target.zone,
        target.slot_count,
        int(target.state),
        round(max(0.0, target.warm_at_s - now_s), 2),
        round(observation.age_s, 2),
        observation.is_silent,
    ]


def _unpack(row: list, now_s: float) -> Observation:
    identity, started_ms, sequence, service, host, port, zone, slots, state, cold_s, age_s, mute = (
        row
    )
    target = roster.Target(
        identity=str(identity),
        started_ms=int(started_ms),
        sequence=int(sequence),
        service=str(service),
        address=(str(host), int(port)),
        zone=str(zone),
        slot_count=int(slots),
        state=roster.State(state),
        warm_at_s=now_s + float(cold_s),
    )
    return Observation(target=target, age_s=float(age_s), is_silent=bool(mute))


@functools.lru_cache(maxsize=2)
def _pack_rules(content: bytes) -> str:
    """Packs a rule file once for all followers; an entry VM's link may carry 2 Mbit/s only."""
    packed = zlib.compress(content, COMPRESSION_LEVEL)
    return binascii.b2a_base64(packed, newline=False).decode()


def _unpack_rules(packed: str) -> bytes:
    try:
        return zlib.decompress(binascii.a2b_base64(packed, strict_mode=True))
    except zlib.error as error:
        raise ValueError(f"rule file: {error}") from error


def encode(update: Update, now_s: float) -> bytes:
    """Encodes an update.

    Args:
        update: The update.
        now_s: Current time of the sender.
    """
    body: dict[str, object] = {
        "targets": [_pack(observation, now_s) for observation in update.observations],
        "controls": update.controls,
        "number": update.number,
        "is_current": update.is_current,
        "is_complete": update.is_complete,
    }
    if update.entry_vms is not None:
        body["entry_vms"] = [
            [s.name, int(s.state), round(max(0.0, now_s - s.since_s), 3)] for s in update.entry_vms
        ]
    if update.content is not None:
        body["content"] = _pack_rules(update.content)
    return json.dumps(body, separators=(",", ":")).encode()


def decode(data: bytes, peer: str, now_s: float) -> Update:
    """Decodes an update.

    Args:
        data: The bytes.
        peer: Who sent them.
        now_s: Current time of the reader.

    Raises:
        errors.DatagramError: The bytes are no update.
    """
    try:
        body = json.loads(data)
        content = body.get("content")
        return Update(
            observations=tuple(_unpack(row, now_s) for row in body["targets"]),
            controls=tuple(str(name) for name in body["controls"]),
            number=int(body["number"]),
            content=None if content is None else _unpack_rules(content),
            is_current=bool(body["is_current"]),
            is_complete=bool(body["is_complete"]),
            entry_vms=_unpack_siblings(body.get("entry_vms"), now_s),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        reason = f"{type(error).__name__}: {error}"
        raise errors.DatagramError(step="decode update", peer=peer, reason=reason) from error


def _unpack_siblings(rows: list | None, now_s: float) -> tuple[siblings.Sibling, ...] | None:
    if rows is None:
        return None
    return tuple(
        siblings.Sibling(name=str(name), state=siblings.State(state), since_s=now_s - float(age_s))
        for name, state, age_s in rows
    )


def to_observations(entries: Iterable[roster.Entry], now_s: float) -> tuple[Observation, ...]:
    """Tells of several entries.

    Args:
        entries: The entries.
        now_s: Current time.
    """
    return tuple(to_observation(entry, now_s) for entry in entries)
