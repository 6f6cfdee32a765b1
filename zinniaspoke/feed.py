"""Codec for the updates that control VMs send to subscribers and to other control VMs."""

import binascii
import functools
import json
import math
import zlib
from collections.abc import Iterable

import attrs

from zinniaspoke import errors, evidence, roster, siblings

# The fastest level; it compresses rule files to about a sixth.
COMPRESSION_LEVEL = 1
# No target takes longer to warm up; a peer may pass on what a target has announced unchecked.
WARM_UP_LIMIT_S = 86_400.0


@attrs.frozen(kw_only=True)
class Observation:
    """A target as one control VM sees it.

    Attributes:
        target: The target's record; ``warm_at_s`` is on the clock of the process that decoded it.
        age_s: Time since it last announced itself.
        is_silent: Whether its announcements have stopped.
    """

    target: roster.Target
    age_s: float
    is_silent: bool


@attrs.frozen(kw_only=True)
class Update:
    """One message to a subscriber or to another control VM.

    Attributes:
        observations: Targets that changed; all targets at the start of a connection.
        controls: Names of the control VMs, HOST:PORT; empty if they have not changed.
        number: Number of the rule file that the sender holds.
        content: The rule file's bytes; None if the receiver holds the file or needs none.
        is_current: Whether the sender leads with a majority or has recently heard from a leader.
        is_complete: Whether the sender's roster is complete.
        entry_vms: Entry VMs of the receiver's zone whose state has changed; None for none.
        places_revision: Number of orders that changed the evacuated zones; 0 if there was none.
        evacuated_zones: The evacuated zones; None if the receiver holds this revision.
        returned_zones: Zones whose evacuation ended lately, with the seconds since; sent with
            ``evacuated_zones``.
        samples: To a control VM: what entry VMs reported to the sender about targets.
        verdicts: To an entry VM: verdicts on targets that have changed.
    """

    observations: tuple[Observation, ...] = ()
    controls: tuple[str, ...] = ()
    number: int = 0
    content: bytes | None = None
    is_current: bool = False
    is_complete: bool = False
    entry_vms: tuple[siblings.Sibling, ...] | None = None
    places_revision: int = 0
    evacuated_zones: tuple[str, ...] | None = None
    returned_zones: tuple[tuple[str, float], ...] = ()
    samples: tuple[evidence.Sample, ...] = ()
    verdicts: tuple[evidence.Verdict, ...] = ()


def to_observation(entry: roster.Entry, now_s: float) -> Observation:
    """Converts a roster entry.

    Args:
        entry: The entry.
        now_s: Current time.
    """
    return Observation(
        target=entry.target, age_s=max(0.0, now_s - entry.heard_s), is_silent=entry.is_silent
    )


def _warm_up_left(left_s: float) -> float:
    return min(max(0.0, left_s), WARM_UP_LIMIT_S)


def _encode_observation(observation: Observation, now_s: float) -> list[object]:
    target = observation.target
    # Left out where they say nothing. VMs of an earlier version read the order at most.
    tail: list[object] = [target.order_ms] if target.order_ms != target.started_ms else []
    if target.former_starts:
        tail = [target.order_ms, target.former_starts]
    if target.state is roster.State.ENDED:
        tail = [target.order_ms, target.former_starts, int(target.end), target.has_drained]
    return [
        target.identity,
        target.started_ms,
        target.sequence,
        target.service,
        *target.address,
        target.zone,
        target.slot_count,
        int(target.state),
        # Rounded up, so that no VM takes the target for warm too soon.
        math.ceil(_warm_up_left(target.warm_at_s - now_s) * 100) / 100,
        round(observation.age_s, 2),
        observation.is_silent,
        *tail,
    ]


def _decode_observation(row: list, now_s: float) -> Observation:
    (
        identity,
        started_ms,
        sequence,
        service,
        host,
        port,
        zone,
        slot_count,
        state,
        warm_up_left_s,
        age_s,
        is_silent,
        *tail,
    ) = row
    # VMs of an earlier version send the order at most.
    target = roster.Target(
        identity=str(identity),
        started_ms=int(started_ms),
        sequence=int(sequence),
        service=str(service),
        address=(str(host), int(port)),
        zone=str(zone),
        slot_count=int(slot_count),
        state=roster.State(state),
        warm_at_s=now_s + _warm_up_left(float(warm_up_left_s)),
        order_ms=int(tail[0] if tail else started_ms),
        former_starts=tuple(int(start) for start in tail[1]) if len(tail) > 1 else (),
        end=roster.End(tail[2]) if len(tail) > 2 else roster.End.UNATTRIBUTED,
        has_drained=bool(tail[3]) if len(tail) > 3 else False,
    )
    return Observation(target=target, age_s=float(age_s), is_silent=bool(is_silent))


@functools.lru_cache(maxsize=2)
def _compress_rules(content: bytes) -> str:
    """Compresses a rule file, once for all subscribers: an entry VM may have a link of 2 Mbit/s."""
    compressed = zlib.compress(content, COMPRESSION_LEVEL)
    return binascii.b2a_base64(compressed, newline=False).decode()


def _decompress_rules(compressed: str) -> bytes:
    try:
        return zlib.decompress(binascii.a2b_base64(compressed, strict_mode=True))
    except zlib.error as error:
        raise ValueError(f"rule file cannot be decompressed: {error}") from error


def encode(update: Update, now_s: float) -> bytes:
    """Encodes an update.

    Args:
        update: The update.
        now_s: Current time on the sender's clock.
    """
    body: dict[str, object] = {
        "targets": [_encode_observation(observation, now_s) for observation in update.observations],
        "controls": update.controls,
        "number": update.number,
        "is_current": update.is_current,
        "is_complete": update.is_complete,
    }
    if update.entry_vms is not None:
        body["entry_vms"] = [
            [s.name, int(s.state), round(max(0.0, now_s - s.since_s), 3)] for s in update.entry_vms
        ]
    if update.places_revision:
        body["places_revision"] = update.places_revision
    if update.evacuated_zones is not None:
        body["evacuated_zones"] = update.evacuated_zones
        if update.returned_zones:
            body["returned_zones"] = update.returned_zones
    if update.samples:
        body["evidence"] = [
            [s.reporter, s.zone, s.sequence, *evidence.encode_row(s.row, now_s)]
            for s in update.samples
        ]
    if update.verdicts:
        body["verdicts"] = [evidence.encode_verdict(v, now_s) for v in update.verdicts]
    if update.content is not None:
        body["content"] = _compress_rules(update.content)
    return json.dumps(body, separators=(",", ":")).encode()


def decode(data: bytes, peer: str, now_s: float) -> Update:
    """Decodes an update.

    Args:
        data: The encoded update.
        peer: Name of the sender.
        now_s: Current time on the receiver's clock.

    Raises:
        errors.DatagramError: The bytes are not a valid update.
    """
    try:
        body = json.loads(data)
        content = body.get("content")
        evacuated_zones = body.get("evacuated_zones")
        return Update(
            observations=tuple(_decode_observation(row, now_s) for row in body["targets"]),
            controls=tuple(str(name) for name in body["controls"]),
            number=int(body["number"]),
            content=None if content is None else _decompress_rules(content),
            is_current=bool(body["is_current"]),
            is_complete=bool(body["is_complete"]),
            entry_vms=_decode_siblings(body.get("entry_vms"), now_s),
            places_revision=int(body.get("places_revision", 0)),
            evacuated_zones=(
                None if evacuated_zones is None else tuple(str(zone) for zone in evacuated_zones)
            ),
            returned_zones=tuple(
                (str(zone), float(age_s)) for zone, age_s in body.get("returned_zones", ())
            ),
            samples=tuple(_decode_sample(row, now_s) for row in body.get("evidence", ())),
            verdicts=tuple(evidence.decode_verdict(row, now_s) for row in body.get("verdicts", ())),
        )
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
        reason = f"{type(error).__name__}: {error}"
        raise errors.DatagramError(step="decode update", peer=peer, reason=reason) from error


def _decode_sample(row: list, now_s: float) -> evidence.Sample:
    reporter, zone, sequence, *body = row
    return evidence.Sample(
        reporter=str(reporter),
        zone=str(zone),
        sequence=int(sequence),
        row=evidence.decode_row(body, now_s),
    )


def _decode_siblings(rows: list | None, now_s: float) -> tuple[siblings.Sibling, ...] | None:
    if rows is None:
        return None
    return tuple(
        siblings.Sibling(name=str(name), state=siblings.State(state), since_s=now_s - float(age_s))
        for name, state, age_s in rows
    )


def to_observations(entries: Iterable[roster.Entry], now_s: float) -> tuple[Observation, ...]:
    """Converts several roster entries.

    Args:
        entries: The entries.
        now_s: Current time.
    """
    return tuple(to_observation(entry, now_s) for entry in entries)
