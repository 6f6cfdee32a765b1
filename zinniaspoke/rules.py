"""Parser of rule files: a rule or a service's options per line, each with who asked and why."""

import ipaddress
from collections.abc import Callable

import attrs

from zinniaspoke import errors, packets

SIZE_LIMIT_BYTES = 16 * 1024 * 1024
PROTOCOLS = {"tcp": packets.TCP, "udp": packets.UDP}
WORK_CLASSES = ("short", "long")
SERVICE_KEYWORD = "service"
# The least urgent level is 9; rules without the option are in the middle of what deployments use.
DEFAULT_URGENCY = 2
# Times in rules are shorter than this.
SECONDS_LIMIT = 1e6

_OPTIONS: dict[str, Callable[[str], object]] = {}
_SERVICE_OPTIONS: dict[str, Callable[[str], object]] = {}


def _option(name: str) -> Callable:
    """Registers the parser of one rule option under its name."""

    def register(parse: Callable[[str], object]) -> Callable[[str], object]:
        _OPTIONS[name] = parse
        return parse

    return register


def _service_option(name: str) -> Callable:
    """Registers the parser of one option of a service line under its name."""

    def register(parse: Callable[[str], object]) -> Callable[[str], object]:
        _SERVICE_OPTIONS[name] = parse
        return parse

    return register


@_service_option("cold_per_s")
def _parse_cold_rate(text: str) -> float:
    return _number_from_zero("cold_per_s", text)


@_service_option("cold_start_s")
def _parse_cold_start(text: str) -> float:
    return _number_from_zero("cold_start_s", text)


@_option("class")
def _parse_class(text: str) -> str:
    if text not in WORK_CLASSES:
        raise ValueError(f"class is one of {', '.join(WORK_CLASSES)}, not {text!r}")
    return text


@_option("idle_s")
def _parse_idle(text: str) -> float:
    return _positive_number("idle_s", text)


@_option("wait_s")
def _parse_wait(text: str) -> float:
    return _positive_number("wait_s", text)


@_option("idempotent")
def _parse_idempotent(text: str) -> bool:
    if text not in ("yes", "no"):
        raise ValueError(f"idempotent is yes or no, not {text!r}")
    return text == "yes"


@_option("hedge")
def _parse_hedge(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= 1:
        raise ValueError(f"hedge is a share between 0 and 1, not {text!r}")
    return value


@_option("urgency")
def _parse_urgency(text: str) -> int:
    if not (len(text) == 1 and text.isascii() and text.isdigit()):
        raise ValueError(f"urgency is a whole number from 0 to 9, not {text!r}")
    return int(text)


@_option("aim_s")
def _parse_aim(text: str) -> float:
    return _positive_number("aim_s", text)


@_option("deadline_s")
def _parse_deadline(text: str) -> float:
    return _positive_number("deadline_s", text)


@_option("split")
def _parse_split(text: str) -> tuple[tuple[str, int], ...]:
    """Parses ``SERVICE:WEIGHT,SERVICE:WEIGHT,…``."""
    weights = []
    for part in text.split(","):
        service, separator, weight = part.rpartition(":")
        if not separator or not service or not weight.isdigit():
            raise ValueError(f"split is SERVICE:WEIGHT,SERVICE:WEIGHT,…, not {text!r}")
        weights.append((service, int(weight)))
    if not sum(weight for _, weight in weights):
        raise ValueError("split weights add up to 0")
    return tuple(weights)


def _positive_number(name: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value < SECONDS_LIMIT:
        raise ValueError(f"{name} is a number of seconds above 0 and below 1000000, not {text!r}")
    return value


def _number_from_zero(name: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e6:
        raise ValueError(f"{name} is a number from 0 up and below 1000000, not {text!r}")
    return value


@attrs.frozen(kw_only=True)
class ServiceOptions:
    """What a rule file says of a service as a whole.

    Attributes:
        cold_per_s: Openings a second that a cold target bears; None for no limit.
        cold_start_s: How long a target is cold after its start; None if not told.
    """

    cold_per_s: float | None = None
    cold_start_s: float | None = None


NO_SERVICE_OPTIONS = ServiceOptions()


@attrs.frozen(kw_only=True)
class Rule:
    """A rule: which service handles the flows to one service address.

    Attributes:
        address: Service address, 4 or 16 bytes.
        port: Service port.
        protocol: ``packets.TCP`` or ``packets.UDP``.
        service: Service name that the targets announce.
        work_class: ``"short"`` or ``"long"``: expected duration of the work on a flow.
        idle_s: Idle time-out of flows.
        wait_s: Longest time that the first packet of a flow waits for a free slot.
        split: Services and weights among which new flows are split; if empty, all new flows go to
            ``service``.
        idempotent: Whether callers may repeat a request whose outcome they do not know.
        hedge: Largest share of its openings that may be hedged; None for the setting's.
        urgency: 0 for the most urgent; decides who goes first where there is too little room.
        aim_s: Time within which callers want a request done; 0 if unknown.
        deadline_s: Time after which callers give a request up; 0 if unknown.
        comment: Who asked for the rule and why.
        line: Line number in the file.
    """

    address: bytes
    port: int
    protocol: int
    service: str
    work_class: str = "short"
    idle_s: float = 900.0
    wait_s: float = 2.0
    split: tuple[tuple[str, int], ...] = ()
    idempotent: bool = False
    hedge: float | None = None
    urgency: int = DEFAULT_URGENCY
    aim_s: float = 0.0
    deadline_s: float = 0.0
    comment: str
    line: int

    @property
    def key(self) -> bytes:
        """The key that packets are matched against, see ``service_key``."""
        return service_key(self.protocol, self.address, self.port.to_bytes(2, "big"))

    def service_for(self, flow_hash: int) -> str:
        """Returns the service for a flow; retransmissions of its first packet get the same service.

        Args:
            flow_hash: Hash of the flow's key.
        """
        if not self.split:
            return self.service
        offset = flow_hash % sum(weight for _, weight in self.split)
        for service, weight in self.split:
            offset -= weight
            if offset < 0:
                return service
        return self.service

    @property
    def services(self) -> frozenset[str]:
        """The services to which it sends new flows."""
        return frozenset(name for name, weight in self.split if weight) or frozenset(
            (self.service,)
        )

    @property
    def is_long(self) -> bool:
        """Whether the work on flows to this address is expected to take long."""
        return self.work_class == "long"

    @property
    def is_bulk(self) -> bool:
        """Whether an entry VM's link carries its flows whole, a few at a time."""
        return self.work_class == "long" and self.aim_s > 0


def service_key(protocol: int, address: bytes, port: bytes) -> bytes:
    """Builds the key under which a rule is looked up.

    Args:
        protocol: ``packets.TCP`` or ``packets.UDP``.
        address: Service address, 4 or 16 bytes.
        port: Service port, 2 bytes.

    Returns:
        The key: protocol, address, port.
    """
    return protocol.to_bytes(1, "big") + address + port


@attrs.frozen(kw_only=True)
class RuleSet:
    """A valid, parsed rule file.

    Attributes:
        number: The file's number; 0 where none was accepted yet.
        content: The file's bytes.
        rules: The rules by service key.
        by_text: The rules by the text of their lines, to be reused by the next parse.
        service_options: The options by service; services without a line are missing.
    """

    number: int
    content: bytes
    rules: dict[bytes, Rule]
    by_text: dict[str, Rule] = attrs.field(factory=dict)
    service_options: dict[str, ServiceOptions] = attrs.field(factory=dict)

    def services(self) -> frozenset[str]:
        """Returns the names of all services in the rules and their splits."""
        split_services = {service for rule in self.rules.values() for service, _ in rule.split}
        return frozenset(split_services | {rule.service for rule in self.rules.values()})


EMPTY = RuleSet(number=0, content=b"", rules={})


def parse(number: int, content: bytes, previous: RuleSet = EMPTY) -> RuleSet:
    """Parses a rule file and reports all its invalid lines at once.

    Args:
        number: The file's number.
        content: The file's bytes, UTF-8.
        previous: An earlier rule set; lines that it also has are not parsed again.

    Returns:
        The rules.

    Raises:
        errors.RuleError: Some lines are invalid; the reason names each with its number.
    """
    if len(content) > SIZE_LIMIT_BYTES:
        raise _error(f"file is larger than the limit of {SIZE_LIMIT_BYTES} bytes")
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        raise _error(f"file is not UTF-8 at byte {error.start}") from error
    by_key: dict[bytes, Rule] = {}
    by_text: dict[str, Rule] = {}
    service_options: dict[str, ServiceOptions] = {}
    problems: list[str] = []
    for line, line_text in enumerate(text.splitlines(), start=1):
        if not line_text.strip() or line_text.lstrip().startswith("#"):
            continue
        if _is_service_line(line_text):
            try:
                _add_service(service_options, line_text)
            except ValueError as error:
                problems.append(f"line {line}: {error}")
            continue
        try:
            rule = previous.by_text.get(line_text) or _parse_line(line, line_text)
        except ValueError as error:
            problems.append(f"line {line}: {error}")
            continue
        if rule.line != line:
            rule = attrs.evolve(rule, line=line)
        by_text[line_text] = rule
        if rule.key in by_key:
            problems.append(f"line {line}: same address as line {by_key[rule.key].line}")
        by_key[rule.key] = rule
    if problems:
        raise _error("; ".join(problems))
    return RuleSet(
        number=number,
        content=content,
        rules=by_key,
        by_text=by_text,
        service_options=service_options,
    )


def parse_services(content: bytes) -> dict[str, ServiceOptions]:
    """Reads only the service lines of a valid rule file.

    Args:
        content: The file's bytes.

    Returns:
        The options by service.

    Raises:
        ValueError: A service line is not valid, which an accepted file cannot have.
    """
    found: dict[str, ServiceOptions] = {}
    for line_text in content.decode("utf-8").splitlines():
        if _is_service_line(line_text):
            _add_service(found, line_text)
    return found


def _is_service_line(line_text: str) -> bool:
    return line_text.split(None, 1)[:1] == [SERVICE_KEYWORD]


def _add_service(found: dict[str, ServiceOptions], line_text: str) -> None:
    words = _split_comment(line_text).words
    if len(words) < 2:
        raise ValueError("expected: service NAME [OPTION=VALUE …] # who and why")
    name = words[1]
    _check_service(name)
    if name in found:
        raise ValueError(f"service {name!r} has two lines")
    found[name] = ServiceOptions(**_parse_options(words[2:], _SERVICE_OPTIONS))


def _error(reason: str) -> errors.RuleError:
    return errors.RuleError(step="check rule file", peer="operator", reason=reason)


@attrs.frozen(kw_only=True)
class _Statement:
    words: list[str]
    comment: str


def _split_comment(line_text: str) -> _Statement:
    statement, separator, comment = line_text.partition("#")
    if not separator or not comment.strip():
        raise ValueError("no comment on who asked for the rule and why")
    return _Statement(words=statement.split(), comment=comment.strip())


def _check_service(service: str) -> None:
    if not service.replace("-", "").replace("_", "").isalnum():
        raise ValueError(f"service {service!r} has characters other than letters, digits, - and _")


def _parse_line(line: int, line_text: str) -> Rule:
    statement = _split_comment(line_text)
    words = statement.words
    if len(words) < 3:
        raise ValueError("expected: ADDRESS PROTOCOL SERVICE [OPTION=VALUE …] # who and why")
    address, port = _parse_address(words[0])
    if words[1] not in PROTOCOLS:
        raise ValueError(f"protocol is one of {', '.join(PROTOCOLS)}, not {words[1]!r}")
    service = words[2]
    _check_service(service)
    return Rule(
        address=address,
        port=port,
        protocol=PROTOCOLS[words[1]],
        service=service,
        comment=statement.comment,
        line=line,
        **_parse_options(words[3:], _OPTIONS),
    )


def _parse_address(text: str) -> tuple[bytes, int]:
    host, separator, port_text = text.rpartition(":")
    if not separator or not port_text.isdigit() or not 0 < int(port_text) < 65536:
        raise ValueError(f"address {text!r} is not ADDRESS:PORT")
    try:
        address = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    return address.packed, int(port_text)


def _parse_options(
    words: list[str], known: dict[str, Callable[[str], object]]
) -> dict[str, object]:
    options: dict[str, object] = {}
    for word in words:
        name, separator, value = word.partition("=")
        if not separator or name not in known:
            raise ValueError(f"unknown option {word!r}, expected one of {', '.join(sorted(known))}")
        field = "work_class" if name == "class" else name
        if field in options:
            raise ValueError(f"option {name!r} is given twice")
        options[field] = known[name](value)
    return options
