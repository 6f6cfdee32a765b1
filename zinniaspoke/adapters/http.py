"""The entry VM's HTTP server: announcements, health, rules for siblings, metrics, status."""

import hashlib
import hmac
import json
from collections.abc import Callable

import aiohttp
import attrs
from aiohttp import web

from zinniaspoke import announcements, errors, levels, ports, status, targets
from zinniaspoke import events as event_catalogue

BODY_LIMIT_BYTES = 64 * 1024
RULES_TIMEOUT_S = 2.0
SIGNATURE_HEADER = "X-Zinniaspoke-Signature"
NUMBER_HEADER = "X-Zinniaspoke-Number"


def sign(key: bytes, purpose: str, content: bytes = b"") -> str:
    """Signs a request or an answer between entry VMs.

    Args:
        key: The datagram key.
        purpose: What is signed.
        content: The signed bytes.

    Returns:
        A keyed hash in hex.
    """
    return hashlib.blake2b(purpose.encode() + b"\0" + content, digest_size=16, key=key).hexdigest()


@attrs.frozen(kw_only=True)
class Handlers:
    """What the server asks the daemon.

    Attributes:
        announce: Takes a target's state; returns the seconds for which packets of an older
            process may still come to its address.
        services: Names of the services that the rules in force name.
        is_ready: Whether the fabric should send packets here.
        rules: Number and bytes of the rule file in force.
        status: What the VM knows.
        levels: Its service levels by service and minute.
        explain: What the VM knows of one flow.
        hold: Drains a target by name, or takes that back; False where it is not known.
        metrics: Metrics as Prometheus text.
        begin_leave: Starts a planned leave.
    """

    announce: Callable[[targets.TargetState], float]
    services: Callable[[], frozenset[str]]
    is_ready: Callable[[], bool]
    rules: Callable[[], tuple[int, bytes]]
    status: Callable[[], status.EntryStatus]
    levels: Callable[[], dict[str, list[levels.Minute]]]
    explain: Callable[[bytes], status.FlowStatus]
    hold: Callable[[str, bool], bool]
    metrics: Callable[[], bytes]
    begin_leave: Callable[[], None]


class HttpServer:
    """Serves one entry VM's HTTP port."""

    def __init__(
        self,
        *,
        handlers: Handlers,
        tokens: announcements.Tokens,
        operator_tokens: dict[str, str],
        keys: tuple[bytes, ...],
        log: ports.LogPort,
        now: Callable[[], float],
    ) -> None:
        """Connects the server.

        Args:
            handlers: The daemon's side.
            tokens: Tokens for announcements.
            operator_tokens: Operator token by role.
            keys: Datagram keys, for siblings that fetch rules.
            log: Where events go.
            now: Reads the clock.
        """
        self._handlers = handlers
        self._tokens = tokens
        self._operator_tokens = operator_tokens
        self._keys = keys
        self._log = log
        self._now = now
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Opens the port.

        Args:
            host: IP number.
            port: TCP port.

        Raises:
            errors.Error: The port cannot be opened.
        """
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        app.add_routes(
            [
                web.put("/targets", self._put_target),
                web.get("/health", self._get_health),
                web.get("/rules", self._get_rules),
                web.get("/status", self._get_status),
                web.get("/levels", self._get_levels),
                web.get("/metrics", self._get_metrics),
                web.get("/flows/{flow}", self._get_flow),
                web.post("/leave", self._post_leave),
                web.post("/targets/{name}/drain", self._post_drain),
                web.post("/targets/{name}/resume", self._post_resume),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        try:
            await web.TCPSite(self._runner, host, port).start()
        except OSError as error:
            await self._runner.cleanup()
            reason = error.strerror or str(error)
            peer = f"{host}:{port}"
            raise errors.Error(step="open HTTP port", peer=peer, reason=reason) from error

    async def stop(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    @staticmethod
    def _bearer(request: web.Request) -> str:
        return request.headers.get("Authorization", "").removeprefix("Bearer ")

    async def _put_target(self, request: web.Request) -> web.Response:
        peer = request.remote or "unknown"
        try:
            announcement = announcements.parse(await self._json(request, peer), peer)
            self._tokens.check(announcement.service, self._bearer(request), peer)
            self._check_service(announcement.service, peer)
            wait_s = self._handlers.announce(announcement.to_state(self._now()))
        except errors.AnnouncementError as error:
            event = event_catalogue.ANNOUNCEMENT_REFUSED
            self._log.write(event, error.step, error.peer, error.reason)
            status = 401 if "token" in error.reason else 400
            return web.json_response({"error": str(error)}, status=status)
        return web.json_response({"lease_s": announcement.lease_s, "wait_s": wait_s})

    @staticmethod
    async def _json(request: web.Request, peer: str) -> object:
        try:
            return json.loads(await request.read())
        except ValueError as error:
            raise errors.AnnouncementError(
                step="take announcement", peer=peer, reason=f"not JSON: {error}"
            ) from error

    def _check_service(self, service: str, peer: str) -> None:
        if service not in self._handlers.services():
            reason = f"no rule in force names service {service!r}"
            raise errors.AnnouncementError(step="take announcement", peer=peer, reason=reason)

    async def _get_health(self, _: web.Request) -> web.Response:
        is_ready = self._handlers.is_ready()
        return web.Response(
            text="ready" if is_ready else "leaving", status=200 if is_ready else 503
        )

    async def _get_rules(self, request: web.Request) -> web.Response:
        signature = request.headers.get(SIGNATURE_HEADER, "")
        if not any(hmac.compare_digest(sign(key, "rules"), signature) for key in self._keys):
            return web.Response(status=403, text="wrong signature")
        number, content = self._handlers.rules()
        headers = {
            NUMBER_HEADER: str(number),
            SIGNATURE_HEADER: sign(self._keys[0], f"rules {number}", content),
        }
        return web.Response(body=content, headers=headers)

    def _is_operator(self, request: web.Request, role: str) -> bool:
        expected = self._operator_tokens.get(role)
        return expected is not None and hmac.compare_digest(expected, self._bearer(request))

    async def _get_status(self, request: web.Request) -> web.Response:
        if not self._is_operator(request, "read"):
            return web.json_response({"error": "wrong operator token"}, status=401)
        return web.json_response(attrs.asdict(self._handlers.status()))

    async def _get_levels(self, request: web.Request) -> web.Response:
        if not self._is_operator(request, "read"):
            return web.json_response({"error": "wrong operator token"}, status=401)
        found = self._handlers.levels()
        body = {s: [attrs.asdict(minute) for minute in minutes] for s, minutes in found.items()}
        return web.json_response(body)

    async def _get_flow(self, request: web.Request) -> web.Response:
        if not self._is_operator(request, "read"):
            return web.json_response({"error": "wrong operator token"}, status=401)
        try:
            flow = bytes.fromhex(request.match_info["flow"])
        except ValueError:
            return web.json_response({"error": "flow is not hexadecimal"}, status=400)
        if len(flow) not in (13, 37):
            return web.json_response({"error": "flow has a wrong length"}, status=400)
        return web.json_response(attrs.asdict(self._handlers.explain(flow)))

    async def _post_drain(self, request: web.Request) -> web.Response:
        return self._hold(request, True)

    async def _post_resume(self, request: web.Request) -> web.Response:
        return self._hold(request, False)

    def _hold(self, request: web.Request, is_held: bool) -> web.Response:
        if not self._is_operator(request, "drain"):
            return web.json_response({"error": "wrong operator token"}, status=401)
        name = request.match_info["name"]
        if not self._handlers.hold(name, is_held):
            return web.json_response({"error": f"no target {name!r}"}, status=404)
        return web.json_response({"target": name, "is_held": is_held})

    async def _get_metrics(self, _: web.Request) -> web.Response:
        return web.Response(body=self._handlers.metrics(), content_type="text/plain")

    async def _post_leave(self, request: web.Request) -> web.Response:
        if not self._is_operator(request, "drain"):
            return web.json_response({"error": "wrong operator token"}, status=401)
        self._handlers.begin_leave()
        return web.json_response({"leaving": True})


@attrs.frozen(kw_only=True)
class FetchedRules:
    """A rule file from a sibling.

    Attributes:
        number: Its number.
        content: Its bytes.
    """

    number: int
    content: bytes


async def fetch_rules(
    session: aiohttp.ClientSession, host: str, port: int, keys: tuple[bytes, ...]
) -> FetchedRules | errors.Nothing:
    """Fetches the rule file that a sibling has in force.

    Args:
        session: HTTP client.
        host: The sibling's IP number.
        port: The sibling's HTTP port.
        keys: Datagram keys.

    Returns:
        The file, or the reason why none came.
    """
    url = f"http://{f'[{host}]' if ':' in host else host}:{port}/rules"
    headers = {SIGNATURE_HEADER: sign(keys[0], "rules")}
    timeout = aiohttp.ClientTimeout(total=RULES_TIMEOUT_S)
    try:
        async with session.get(url, headers=headers, timeout=timeout) as answer:
            if answer.status != 200:
                return errors.Nothing(reason=f"status_{answer.status}")
            content = await answer.read()
            number = int(answer.headers.get(NUMBER_HEADER, "0"))
            signature = answer.headers.get(SIGNATURE_HEADER, "")
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return errors.Nothing(reason=type(error).__name__)
    if not any(sign(key, f"rules {number}", content) == signature for key in keys):
        return errors.Nothing(reason="wrong_signature")
    return FetchedRules(number=number, content=content)
