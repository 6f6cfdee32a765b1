"""Tells where an opening would go now, and why, without sending it."""

import ipaddress
import json

import attrs

from zinniaspoke import errors, flowstate, selection, steering

# Candidates that are named, those with the least load first.
NAMED_COUNT = 8
# Flows of one question; more would hold up packets.
FLOW_COUNT_LIMIT = 200
PORT_LIMIT = 65536


@attrs.frozen(kw_only=True)
class Question:
    """What an operator asks an entry VM.

    Attributes:
        caller: IP number and port of the caller.
        service: IP number and port of the service address.
        count: Number of flows, from the caller's port upwards.
    """

    caller: tuple[str, int]
    service: tuple[str, int]
    count: int = 1

    def encode(self) -> bytes:
        """Returns the question as JSON."""
        return json.dumps(attrs.asdict(self)).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Question":
        """Reads a question.

        Args:
            data: The question as JSON.

        Raises:
            errors.SettingsError: It is none.
        """
        try:
            body = json.loads(data)
            count = int(body.get("count", 1))
            question = cls(
                caller=_endpoint(*body["caller"]), service=_endpoint(*body["service"]), count=count
            )
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            raise _error(f"{type(error).__name__}: {error}") from error
        last_port = question.caller[1] + count - 1
        if not 0 < count <= FLOW_COUNT_LIMIT or last_port >= PORT_LIMIT:
            raise _error(f"count is {count}, from 1 to {FLOW_COUNT_LIMIT} and up to port 65535")
        return question


def _error(reason: str) -> errors.SettingsError:
    return errors.SettingsError(step="read flow", peer="operator", reason=reason)


def parse(caller: str, service: str, count: int) -> Question:
    """Reads a question as people write it.

    Args:
        caller: IPv4 number and port, such as ``100.64.0.7:40001``.
        service: The same of the service address.
        count: Number of flows.

    Raises:
        errors.SettingsError: It is none.
    """
    ends = [text.rpartition(":") for text in (caller, service)]
    body = {"caller": ends[0][::2], "service": ends[1][::2], "count": count}
    return Question.decode(json.dumps(body).encode())


def _endpoint(host: str, port: int | str) -> tuple[str, int]:
    number = int(port)
    if not 0 < number < PORT_LIMIT:
        raise ValueError(f"port {number} is not between 1 and 65535")
    return str(ipaddress.IPv4Address(host)), number


@attrs.frozen(kw_only=True)
class Answer:
    """What an entry VM would do with a flow.

    Attributes:
        outcome: ``open``, ``opening`` (both known here), ``target``, ``waits``, ``refused`` or
            ``dropped``.
        reason: Why there is no target; empty if there is one.
        target: Name of the target, as far as one is known; else empty.
        rules_number: Number of the rule file in force.
        rule: Line of its rule and the comment; empty without a rule.
        service: The service; empty without a rule.
        queued_count: Openings of the service that wait for a place.
        steps: Names of the steps, each with the number of targets that it leaves.
        candidates: The targets that are left, those with the least load first: name, availability
            zone, requests in flight, unanswered openings, seconds since it last answered or -1.
    """

    outcome: str
    reason: str = ""
    target: str = ""
    rules_number: int = 0
    rule: str = ""
    service: str = ""
    queued_count: int = 0
    steps: tuple[tuple[str, int], ...] = ()
    candidates: tuple[tuple[str, str, int, int, float], ...] = ()


def describe(core: steering.Steering, packet: steering.Packet, now_s: float) -> Answer:
    """Tells what would be done with an opening.

    Args:
        core: The entry VM's steering; its counts and flows do not change.
        packet: The opening.
        now_s: Current time.
    """
    flow = core.find_flow(packet.flow)
    number = core.rules_number
    if flow is not None and flow.stage is not flowstate.Stage.CLOSED:
        outcome = "open" if flow.stage is flowstate.Stage.OPEN else "opening"
        return Answer(
            outcome=outcome,
            target=flow.target.identity,
            rules_number=number,
            service=flow.target.service,
        )
    found = core.consider(packet, now_s)
    if isinstance(found, errors.Nothing):
        outcome = "refused" if found in steering.REFUSALS else "dropped"
        return Answer(outcome=outcome, reason=found.reason, rules_number=number)
    rule, service = found
    preview = core.preview(service, now_s)
    common = {
        "rules_number": number,
        "rule": f"line {rule.line}: {rule.comment}",
        "service": service,
        "queued_count": preview.queued_count,
        "steps": tuple((name, len(loads)) for name, loads in preview.steps),
        "candidates": tuple(
            (
                load.target.identity,
                load.target.zone,
                load.in_flight_count,
                load.failure_count,
                round(now_s - load.answered_s, 2) if load.answered_s > 0 else -1.0,
            )
            for load in sorted(preview.left, key=lambda load: load.in_flight_count)[:NAMED_COUNT]
        ),
    }
    if isinstance(preview.found, selection.Selected):
        return Answer(outcome="target", target=preview.found.load.target.identity, **common)
    outcome = "refused" if preview.found in steering.REFUSALS else "waits"
    return Answer(outcome=outcome, reason=preview.found.reason, **common)
