"""A function for each operator command."""

import asyncio
import difflib
import pathlib
import time
from collections.abc import Sequence

import aiohttp
import attrs

from zinniaspoke import (
    burn,
    errors,
    evacuations,
    levels,
    rules,
    secretfiles,
    settings,
    status,
    where,
)
from zinniaspoke.adapters import logs, report_page, rpc
from zinniaspoke.daemons import control, entry
from zinniaspoke.proto import control_pb2

HTTP_TIMEOUT_S = 2.0
# A VM answers 200 flows within some hundredths of a second.
WHERE_LIMIT_S = 2.0


@attrs.frozen(kw_only=True)
class ReplicaStatus:
    """A control replica as the operator sees it.

    Attributes:
        address: Where it was asked.
        name: Its name and identity, or empty.
        role: ``leader``, ``follower``, ``learner``, or why it did not answer.
        term: Its term.
        rule_number: Number of the accepted rule file.
        entry_count: Entries in its log.
        evacuated_zones: Evacuated zones that it knows.
        places_revision: Number of orders that changed them.
    """

    address: str
    name: str
    role: str
    term: int
    rule_number: int
    entry_count: int
    evacuated_zones: tuple[str, ...] = ()
    places_revision: int = 0


@attrs.frozen(kw_only=True)
class SystemStatus:
    """The whole deployment as the operator sees it.

    Attributes:
        entries: Entry VMs that answered.
        silent: Addresses of those that did not, with the reason.
        replicas: The control replicas.
    """

    entries: list[status.EntryStatus]
    silent: dict[str, str]
    replicas: list[ReplicaStatus]

    def evacuated_zones(self) -> tuple[str, ...]:
        """Returns the evacuated zones as the replica with the most changes knows them."""
        newest = max(self.replicas, key=lambda r: r.places_revision, default=None)
        return newest.evacuated_zones if newest is not None else ()

    def targets(self) -> list[status.TargetStatus]:
        """Returns each target once, from its placer where that answered."""
        best: dict[str, status.TargetStatus] = {}
        for vm in self.entries:
            for target in vm.targets:
                if target.name not in best or target.is_placed_here:
                    best[target.name] = target
        return sorted(best.values(), key=lambda target: target.name)


@attrs.frozen(kw_only=True)
class RulesInForce:
    """The rules that a control replica says are in force.

    Attributes:
        file: The rule file.
        replica_count: Replicas that answered.
        is_majority: Whether a majority answered, so that the number is not an old one.
    """

    file: rules.RuleSet
    replica_count: int
    is_majority: bool


def build_entry(config: settings.EntrySettings) -> entry.EntryDaemon:
    """Prepares an entry VM's daemon.

    Args:
        config: Its settings.

    Returns:
        The daemon, not yet started.
    """
    return entry.EntryDaemon(config=config, log=logs.EliotLog(process=config.name))


def build_control(config: settings.ControlSettings) -> control.ControlDaemon:
    """Prepares a control replica's daemon.

    Args:
        config: Its settings.

    Returns:
        The daemon, not yet started.
    """
    return control.ControlDaemon(config=config, output=logs.EliotLog(process=config.name))


def create_secrets(folder: str, services: Sequence[str]) -> list[str]:
    """Writes fresh secrets for a new deployment.

    Args:
        folder: Path of the folder.
        services: Services that get an announcement token.

    Returns:
        Names of the files that were written.
    """
    return secretfiles.create(folder, services)


def read_rule_file(path: str) -> bytes:
    """Reads a rule file's bytes.

    Args:
        path: The file.

    Returns:
        Its bytes.

    Raises:
        errors.SettingsError: It cannot be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        raise errors.SettingsError(step="read rule file", peer=path, reason=reason) from error


def check(path: str) -> rules.RuleSet:
    """Checks a rule file whole.

    Args:
        path: The file.

    Returns:
        The rules.

    Raises:
        errors.RuleError: Lines are wrong; the reason names each.
        errors.SettingsError: The file cannot be read.
    """
    return rules.parse(1, read_rule_file(path))


def _client(config: settings.OperatorSettings, role: str) -> rpc.ControlClient:
    token = secretfiles.load_operator_token(config.secrets_folder, role)
    return rpc.ControlClient(replicas=config.control_replicas, tls=config.tls, token=token)


async def submit(
    config: settings.OperatorSettings, number: int, path: str
) -> control_pb2.SubmitReply:
    """Submits a rule file.

    Args:
        config: The operator's settings.
        number: The file's number.
        path: The file.

    Returns:
        The answer: yes, no or unknown, with the reason.
    """
    content = read_rule_file(path)
    rules.parse(number, content)
    client = _client(config, "submit")
    try:
        return await client.submit(number, content)
    finally:
        await client.close()


async def order_zone(
    config: settings.OperatorSettings, zone: str, is_evacuated: bool
) -> control_pb2.SubmitReply:
    """Evacuates a zone or ends its evacuation.

    Args:
        config: The operator's settings.
        zone: The zone.
        is_evacuated: Whether its targets are to get no new flows.

    Returns:
        The answer: yes, no or unknown, with the reason.

    Raises:
        errors.ZoneError: The name is malformed.
    """
    evacuations.check_zone(zone, ())
    client = _client(config, "submit")
    try:
        return await client.order(control_pb2.ZoneOrder(zone=zone, is_evacuated=is_evacuated))
    finally:
        await client.close()


async def ask_where(vm: str, question: where.Question) -> dict:
    """Asks an entry VM where flows would go now.

    Args:
        vm: HOST:PORT of its metrics address.
        question: The flows.

    Returns:
        Its name under ``vm`` and under ``flows`` a ``where.Answer`` for each, as a table.

    Raises:
        errors.Error: It cannot be reached, or refuses the question.
    """
    timeout = aiohttp.ClientTimeout(total=WHERE_LIMIT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(f"http://{vm}/where", data=question.encode()) as response,
        ):
            body = await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        reason = f"{type(error).__name__}: {error}"
        raise errors.UnreachableError(step="ask where", peer=vm, reason=reason) from error
    if response.status != 200:
        reason = str(body.get("error", f"status {response.status}"))
        raise errors.Error(step="ask where", peer=vm, reason=reason)
    return body


async def show(config: settings.OperatorSettings) -> RulesInForce:
    """Reads the rules in force from all replicas and takes the highest number.

    Args:
        config: The operator's settings.

    Returns:
        The rules.

    Raises:
        errors.Error: No replica answered.
    """
    token = secretfiles.load_operator_token(config.secrets_folder, "read")
    found: list[control_pb2.RuleFile] = []
    for endpoint in config.control_replicas:
        client = rpc.ControlClient(replicas=(endpoint,), tls=config.tls, token=token)
        try:
            found.append((await client.newer_rules(0)).rule_file)
        except errors.Error:
            continue
        finally:
            await client.close()
    if not found:
        raise errors.Error(step="show rules", peer="control replicas", reason="none answered")
    newest = max(found, key=lambda file: file.number)
    return RulesInForce(
        file=rules.parse(newest.number, newest.content),
        replica_count=len(found),
        is_majority=2 * len(found) > len(config.control_replicas),
    )


def _url(endpoint: settings.Endpoint, path: str) -> str:
    host = f"[{endpoint.host}]" if ":" in endpoint.host else endpoint.host
    return f"http://{host}:{endpoint.port}{path}"


async def _call(
    config: settings.OperatorSettings,
    method: str,
    endpoint: settings.Endpoint,
    path: str,
    role: str,
) -> dict[str, object]:
    """Calls one entry VM's HTTP port with an operator's token."""
    token = secretfiles.load_operator_token(config.secrets_folder, role)
    headers = {"Authorization": f"Bearer {token}"}
    timeout = aiohttp.ClientTimeout(total=HTTP_TIMEOUT_S)
    peer = f"{endpoint.host}:{endpoint.port}"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
            session.request(method, _url(endpoint, path)) as answer,
        ):
            body = await answer.json()
            if answer.status != 200:
                raise errors.Error(step=f"{method} {path}", peer=peer, reason=body["error"])
            return body
    except (aiohttp.ClientError, TimeoutError) as error:
        reason = f"did not answer ({type(error).__name__})"
        raise errors.Error(step=f"{method} {path}", peer=peer, reason=reason) from error


async def status_of_all(config: settings.OperatorSettings) -> SystemStatus:
    """Asks every entry VM and control replica what it is.

    Args:
        config: The operator's settings.

    Returns:
        What answered, and what did not.
    """
    calls = [_call(config, "GET", e, "/status", "read") for e in config.entry_vms]
    answers = await asyncio.gather(*calls, return_exceptions=True)
    entries: list[status.EntryStatus] = []
    silent: dict[str, str] = {}
    for endpoint, answer in zip(config.entry_vms, answers, strict=True):
        if isinstance(answer, errors.Error):
            silent[f"{endpoint.host}:{endpoint.port}"] = answer.reason
        elif isinstance(answer, BaseException):
            raise answer
        else:
            entries.append(_entry_status(answer))
    replicas = await _replica_statuses(config)
    return SystemStatus(entries=entries, silent=silent, replicas=replicas)


def _entry_status(body: dict) -> status.EntryStatus:
    members = [status.MemberStatus(**member) for member in body.pop("members")]
    targets = [status.TargetStatus(**target) for target in body.pop("targets")]
    return status.EntryStatus(members=members, targets=targets, **body)


async def _replica_statuses(config: settings.OperatorSettings) -> list[ReplicaStatus]:
    client = _client(config, "read")
    try:
        found = await client.statuses()
    finally:
        await client.close()
    return [_replica_status(address, reply) for address, reply in found.items()]


def _replica_status(address: str, reply: control_pb2.StatusReply | errors.Nothing) -> ReplicaStatus:
    if isinstance(reply, errors.Nothing):
        return ReplicaStatus(
            address=address, name="", role=reply.reason, term=0, rule_number=0, entry_count=0
        )
    return ReplicaStatus(
        address=address,
        name=reply.name,
        role=reply.role,
        term=reply.term,
        rule_number=reply.rule_number,
        entry_count=reply.last_index,
        evacuated_zones=tuple(reply.evacuated_zones),
        places_revision=reply.places_revision,
    )


async def drain_vm(config: settings.OperatorSettings, name: str) -> None:
    """Starts the planned leave of an entry VM.

    Args:
        config: The operator's settings.
        name: The VM's name.

    Raises:
        errors.Error: No entry VM of that name answered.
    """
    found = await status_of_all(config)
    names = [vm.name for vm in found.entries]
    if name not in names:
        raise _unknown("drain entry VM", name, names)
    for endpoint in config.entry_vms:
        if f"{endpoint.host}:{endpoint.port}" in found.silent:
            continue
        body = await _call(config, "GET", endpoint, "/status", "read")
        if body["name"] == name:
            await _call(config, "POST", endpoint, "/leave", "drain")
            return


async def hold_target(config: settings.OperatorSettings, name: str, is_held: bool) -> None:
    """Drains a target on the operator's word, or takes that back.

    Args:
        config: The operator's settings.
        name: The target's name, as ``status`` shows it.
        is_held: Whether it gets no new work.

    Raises:
        errors.Error: The target is not known, or no entry VM answered.
    """
    found = await status_of_all(config)
    names = [target.name for target in found.targets()]
    if name not in names:
        raise _unknown("drain target", name, names)
    verb = "drain" if is_held else "resume"
    path = f"/targets/{name.replace('/', '%2F')}/{verb}"
    for endpoint in config.entry_vms:
        if f"{endpoint.host}:{endpoint.port}" not in found.silent:
            await _call(config, "POST", endpoint, path, "drain")
            return


def _unknown(step: str, name: str, known: Sequence[str]) -> errors.Error:
    reason = f"not known{suggest(name, known)}"
    return errors.Error(step=step, peer=name, reason=reason)


async def explain(config: settings.OperatorSettings, text: str) -> list[status.FlowStatus]:
    """Asks every entry VM what it knows of a flow.

    Args:
        config: The operator's settings.
        text: The flow, see ``status.parse_flow``.

    Returns:
        What those that answered know.
    """
    flow = status.parse_flow(text)
    path = f"/flows/{flow.hex()}"
    calls = [_call(config, "GET", e, path, "read") for e in config.entry_vms]
    answers = await asyncio.gather(*calls, return_exceptions=True)
    return [status.FlowStatus(**a) for a in answers if not isinstance(a, BaseException)]


@attrs.frozen(kw_only=True)
class Report:
    """The service-level burn of a deployment.

    Attributes:
        burns: The burn of every objective.
        minutes: Merged minutes by service.
        objectives: The objectives.
        now_minute: Minutes since 1970.
        vm_count: Entry VMs that answered.
    """

    burns: list[burn.Burn]
    minutes: dict[str, list[levels.Minute]]
    objectives: tuple[burn.Objective, ...]
    now_minute: int
    vm_count: int

    def to_html(self) -> str:
        """Renders one self-contained page."""
        return report_page.render(self.burns, self.minutes, self.objectives, self.now_minute)


async def report(config: settings.OperatorSettings) -> Report:
    """Works out the burn from what all entry VMs counted.

    Args:
        config: The operator's settings; services without an objective get the usual one.

    Returns:
        The report.

    Raises:
        errors.Error: No entry VM answered.
    """
    calls = [_call(config, "GET", e, "/levels", "read") for e in config.entry_vms]
    answers = await asyncio.gather(*calls, return_exceptions=True)
    parts = [_minutes(a) for a in answers if not isinstance(a, BaseException)]
    if not parts:
        raise errors.Error(step="report", peer="entry VMs", reason="none answered")
    merged = levels.merge(parts)
    promised = {objective.service: objective for objective in config.objectives}
    for service in merged:
        promised.setdefault(service, burn.Objective(service=service))
    now_minute = int(time.time() // levels.MINUTE_S)
    objectives = tuple(promised.values())
    return Report(
        burns=burn.compute(merged, objectives, now_minute),
        minutes=merged,
        objectives=objectives,
        now_minute=now_minute,
        vm_count=len(parts),
    )


def _minutes(body: dict) -> dict[str, list[levels.Minute]]:
    return {s: [levels.Minute(**minute) for minute in found] for s, found in body.items()}


def suggest(word: str, known: Sequence[str]) -> str:
    """Suggests what a mistyped name may have meant.

    Args:
        word: The mistyped name.
        known: The names that exist.

    Returns:
        Words to put after the error; empty where nothing is near.
    """
    near = difflib.get_close_matches(word, known, n=1)
    return f"; did you mean {near[0]!r}?" if near else ""
