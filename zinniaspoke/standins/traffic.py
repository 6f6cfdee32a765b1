"""What the stand-ins count: the outcome of every flow, apart from the balancer's own counters."""

import attrs


@attrs.define(kw_only=True, slots=True)
class Outcome:
    """One flow as its caller saw it.

    Attributes:
        service: The service that the caller meant.
        kind: ``"short"``, ``"long"`` or ``"idle"``.
        opened_s: When the caller sent its SYN.
        answered_s: When the handshake completed, or None.
        completed_s: When the whole answer had come, or None.
        ended_s: When it ended, or None.
        work_s: Seconds of work asked for.
        is_complete: Whether the whole answer came.
        is_refused: Whether it was reset before the handshake completed.
        broken_during: The step of the demo in which it broke, or empty.
    """

    service: str
    kind: str
    opened_s: float
    answered_s: float | None = None
    completed_s: float | None = None
    ended_s: float | None = None
    work_s: float = 0.0
    is_complete: bool = False
    is_refused: bool = False
    broken_during: str = ""


@attrs.define(kw_only=True, slots=True)
class Traffic:
    """Shared tally of callers and targets.

    Attributes:
        outcomes: All flows, by key.
        meant: The service that each flow's caller meant, by key.
        wrong_service_count: Packets that reached a target of another service.
        repeated_count: Requests that a second target ran too.
        placed_s: Seconds of work run, by target name.
        ran: Target that ran each request, by request id.
        late_openings: Openings that reached a target long after it announced to drain.
        step: The demo's present step.
    """

    outcomes: dict[bytes, Outcome] = attrs.field(factory=dict)
    meant: dict[bytes, str] = attrs.field(factory=dict)
    wrong_service_count: int = 0
    repeated_count: int = 0
    placed_s: dict[str, float] = attrs.field(factory=dict)
    ran: dict[str, str] = attrs.field(factory=dict)
    late_openings: int = 0
    step: str = ""
