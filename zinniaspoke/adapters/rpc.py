"""gRPC between control replicas, and from entry VMs and operators to them."""

import asyncio
import hmac
import pathlib

import grpc
from grpc import aio

from zinniaspoke import consensus, control, errors, evacuations, ports, settings
from zinniaspoke.proto import control_pb2, control_pb2_grpc

DELIVER_TIMEOUT_S = 1.0
RULES_TIMEOUT_S = 1.0
SUBMIT_TIMEOUT_S = 8.0
SUBMIT_PAUSE_S = 0.1
IN_FLIGHT_LIMIT = 64
MESSAGE_LIMIT_BYTES = 32 * 1024 * 1024
TOKEN_KEY = "authorization"
_OPTIONS = [
    ("grpc.max_receive_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
]


def _read(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        raise errors.SettingsError(step="read TLS file", peer=path, reason=reason) from error


def open_channel(host: str, port: int, tls: settings.Tls | None) -> aio.Channel:
    """Opens a client channel.

    Args:
        host: IP number.
        port: TCP port.
        tls: TLS files, or None for plain text.

    Returns:
        The channel.
    """
    address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
    if tls is None:
        return aio.insecure_channel(address, options=_OPTIONS)
    credentials = grpc.ssl_channel_credentials(
        root_certificates=_read(tls.ca_file),
        private_key=_read(tls.key_file),
        certificate_chain=_read(tls.certificate_file),
    )
    return aio.secure_channel(address, credentials, options=_OPTIONS)


class _ReplicationServicer(control_pb2_grpc.ReplicationServicer):
    def __init__(self, *, server: "ControlServer") -> None:
        self._server = server

    async def Deliver(  # noqa: N802 - named by the protocol
        self, request: control_pb2.ReplicaMessage, context: aio.ServicerContext
    ) -> control_pb2.DeliverReply:
        await self._server.check_token(context, "replica")
        self._server.core.receive(request, self._server.now())
        self._server.flush()
        return control_pb2.DeliverReply()


class _ControlServicer(control_pb2_grpc.ControlServicer):
    def __init__(self, *, server: "ControlServer") -> None:
        self._server = server

    async def Submit(  # noqa: N802 - named by the protocol
        self, request: control_pb2.SubmitRequest, context: aio.ServicerContext
    ) -> control_pb2.SubmitReply:
        await self._server.check_token(context, "submit")
        return await self._server.submit(request.number, request.content)

    async def Order(  # noqa: N802 - named by the protocol
        self, request: control_pb2.ZoneOrder, context: aio.ServicerContext
    ) -> control_pb2.SubmitReply:
        await self._server.check_token(context, "submit")
        return await self._server.order(request)

    async def Rules(  # noqa: N802 - named by the protocol
        self, request: control_pb2.RulesRequest, context: aio.ServicerContext
    ) -> control_pb2.RulesReply:
        await self._server.check_token(context, "read")
        core = self._server.core
        places = core.evacuations
        reply = control_pb2.RulesReply(
            evacuated_zones=sorted(places.zones), places_revision=places.revision
        )
        if core.history.current.number > request.have_number:
            reply.rule_file.CopyFrom(core.history.current)
        return reply

    async def Status(  # noqa: N802 - named by the protocol
        self, request: control_pb2.StatusRequest, context: aio.ServicerContext
    ) -> control_pb2.StatusReply:
        await self._server.check_token(context, "read")
        return self._server.core.status()


class ControlServer:
    """The gRPC side of one control replica."""

    def __init__(
        self,
        *,
        core: control.Control,
        replicas: tuple[settings.ReplicaEndpoint, ...],
        own: settings.ReplicaEndpoint,
        tls: settings.Tls | None,
        tokens: dict[str, str],
        log: ports.LogPort,
    ) -> None:
        """Connects the server.

        Args:
            core: The decisions.
            replicas: All replicas.
            own: This replica.
            tls: TLS files, or None.
            tokens: Token by role: read, submit, drain and replica.
            log: Where events go.
        """
        self.core = core
        self._own = own
        self._tls = tls
        self._tokens = tokens
        self._log = log
        self._peers = [replica for replica in replicas if replica.name != own.name]
        self._stubs: dict[str, control_pb2_grpc.ReplicationStub] = {}
        self._channels: list[aio.Channel] = []
        self._waiting: dict[int, asyncio.Future[control_pb2.SubmitReply]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = aio.server(options=_OPTIONS)

    def now(self) -> float:
        """Reads the loop's monotonic clock, in seconds."""
        return asyncio.get_running_loop().time()

    async def check_token(self, context: aio.ServicerContext, role: str) -> None:
        """Refuses a call without the role's token.

        Args:
            context: The call.
            role: The needed role.
        """
        metadata = dict(context.invocation_metadata() or ())
        token = str(metadata.get(TOKEN_KEY, "")).removeprefix("Bearer ")
        expected = self._tokens.get(role)
        if expected is None or not hmac.compare_digest(expected, token):
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, f"no valid token for {role}")

    async def start(self) -> None:
        """Opens the port and the channels.

        Raises:
            errors.Error: The port cannot be opened.
        """
        control_pb2_grpc.add_ReplicationServicer_to_server(
            _ReplicationServicer(server=self), self._server
        )
        control_pb2_grpc.add_ControlServicer_to_server(_ControlServicer(server=self), self._server)
        host = f"[{self._own.host}]" if ":" in self._own.host else self._own.host
        address = f"{host}:{self._own.port}"
        try:
            if self._tls is None:
                self._server.add_insecure_port(address)
            else:
                self._server.add_secure_port(address, self._credentials())
        except RuntimeError as error:
            raise errors.Error(step="open gRPC port", peer=address, reason=str(error)) from error
        for peer in self._peers:
            channel = open_channel(peer.host, peer.port, self._tls)
            self._channels.append(channel)
            self._stubs[peer.name] = control_pb2_grpc.ReplicationStub(channel)
        await self._server.start()

    def _credentials(self) -> grpc.ServerCredentials:
        """Reads the certificate again for each new connection, so that it can be renewed."""

        def fetch() -> grpc.ServerCertificateConfiguration:
            pairs = [(_read(self._tls.key_file), _read(self._tls.certificate_file))]
            return grpc.ssl_server_certificate_configuration(pairs, _read(self._tls.ca_file))

        return grpc.dynamic_ssl_server_credentials(fetch(), fetch, True)

    async def stop(self) -> None:
        """Closes the port and the channels."""
        await self._server.stop(grace=0.5)
        for task in self._tasks:
            task.cancel()
        for channel in self._channels:
            await channel.close()

    async def submit(self, number: int, content: bytes) -> control_pb2.SubmitReply:
        """Takes a submission and waits for its answer.

        Args:
            number: The rule file's number.
            content: Its bytes.

        Returns:
            The answer.
        """
        return await self._wait(self.core.submit(number, content, self.now()))

    async def order(self, order: control_pb2.ZoneOrder) -> control_pb2.SubmitReply:
        """Takes a zone order and waits for its answer.

        Args:
            order: The order.

        Returns:
            The answer.
        """
        try:
            evacuations.check_zone(order.zone, ())
        except errors.ZoneError as error:
            no = control_pb2.SUBMIT_OUTCOME_NO
            return control_pb2.SubmitReply(outcome=no, reason=str(error))
        return await self._wait(self.core.order(order, self.now()))

    async def _wait(self, ticket: int) -> control_pb2.SubmitReply:
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        self.flush()
        return await future

    def flush(self) -> None:
        """Sends, answers and logs what the core asks for."""
        for message in self.core.take_messages():
            self._post(message)
        for answer in self.core.take_answers():
            future = self._waiting.pop(answer.ticket, None)
            if future is not None and not future.done():
                future.set_result(answer.reply)
        for notice in self.core.take_notices():
            self._log.write(notice.event, "control", notice.peer, notice.detail)

    def _post(self, message: control_pb2.ReplicaMessage) -> None:
        stub = self._stubs.get(consensus.name_of(message.recipient))
        if stub is None or len(self._tasks) >= IN_FLIGHT_LIMIT:
            return
        task = asyncio.get_running_loop().create_task(self._deliver(stub, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(
        self, stub: control_pb2_grpc.ReplicationStub, message: control_pb2.ReplicaMessage
    ) -> None:
        metadata = ((TOKEN_KEY, f"Bearer {self._tokens.get('replica', '')}"),)
        try:
            await stub.Deliver(message, timeout=DELIVER_TIMEOUT_S, metadata=metadata)
        except aio.AioRpcError:
            return


class ControlClient(ports.ControlPort):
    """Asks control replicas, moving to the next one where one does not answer."""

    def __init__(
        self,
        *,
        replicas: tuple[settings.Endpoint, ...],
        tls: settings.Tls | None,
        token: str,
    ) -> None:
        """Opens the channels.

        Args:
            replicas: Where the replicas listen.
            tls: TLS files, or None.
            token: Operator token.
        """
        self._names = [f"{replica.host}:{replica.port}" for replica in replicas]
        self._channels = [open_channel(r.host, r.port, tls) for r in replicas]
        self._stubs = [control_pb2_grpc.ControlStub(channel) for channel in self._channels]
        self._metadata = ((TOKEN_KEY, f"Bearer {token}"),)
        self._preferred = 0

    async def close(self) -> None:
        """Closes the channels."""
        for channel in self._channels:
            await channel.close()

    async def newer_rules(self, have_number: int) -> control_pb2.RulesReply:
        """See ``ports.ControlPort.newer_rules``."""
        request = control_pb2.RulesRequest(have_number=have_number)
        if not self._stubs:
            raise self._error("fetch rules", "none", "no replica is set")
        index = self._preferred % len(self._stubs)
        try:
            return await self._stubs[index].Rules(
                request, timeout=RULES_TIMEOUT_S, metadata=self._metadata
            )
        except aio.AioRpcError as error:
            self._preferred += 1
            raise self._error("fetch rules", self._names[index], str(error.code())) from error

    async def submit(self, number: int, content: bytes) -> control_pb2.SubmitReply:
        """See ``ports.ControlPort.submit``."""
        return await self._call("Submit", control_pb2.SubmitRequest(number=number, content=content))

    async def order(self, order: control_pb2.ZoneOrder) -> control_pb2.SubmitReply:
        """Gives a zone order.

        Args:
            order: The order.

        Returns:
            The answer; unknown where none came.
        """
        return await self._call("Order", order)

    async def _call(
        self, method: str, request: control_pb2.SubmitRequest | control_pb2.ZoneOrder
    ) -> control_pb2.SubmitReply:
        reason = "no replica leads"
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + SUBMIT_TIMEOUT_S
        while loop.time() < deadline_s:
            index = self._preferred % len(self._stubs)
            try:
                reply = await getattr(self._stubs[index], method)(
                    request, timeout=SUBMIT_TIMEOUT_S, metadata=self._metadata
                )
            except aio.AioRpcError as error:
                if error.code() is grpc.StatusCode.UNAUTHENTICATED:
                    no = control_pb2.SUBMIT_OUTCOME_NO
                    return control_pb2.SubmitReply(outcome=no, reason=str(error.details()))
                reason = f"{self._names[index]} did not answer ({error.code().name})"
                self._preferred += 1
                await asyncio.sleep(SUBMIT_PAUSE_S)
                continue
            if reply.outcome != control_pb2.SUBMIT_OUTCOME_NOT_LEADER:
                return reply
            self._preferred += 1
            await asyncio.sleep(SUBMIT_PAUSE_S)
        unknown = control_pb2.SUBMIT_OUTCOME_UNKNOWN
        return control_pb2.SubmitReply(outcome=unknown, reason=reason)

    async def statuses(self) -> dict[str, control_pb2.StatusReply | errors.Nothing]:
        """Asks every replica what it is.

        Returns:
            The reply, or the reason why none came, by address.
        """
        found: dict[str, control_pb2.StatusReply | errors.Nothing] = {}
        for name, stub in zip(self._names, self._stubs, strict=True):
            try:
                found[name] = await stub.Status(
                    control_pb2.StatusRequest(), timeout=RULES_TIMEOUT_S, metadata=self._metadata
                )
            except aio.AioRpcError as error:
                found[name] = errors.Nothing(reason=error.code().name)
        return found

    @staticmethod
    def _error(step: str, peer: str, reason: str) -> errors.Error:
        return errors.Error(step=step, peer=peer, reason=reason)
