"""A small HTTP/1.1 port on httptools, for processes that cannot carry a web framework."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

import attrs
import httptools

from zinniaspoke import errors

# Eight times the largest body that operators send; a sender of more is cut off.
BODY_LIMIT_BYTES = 2 * 1024 * 1024
# An open connection that sends nothing for this long is closed; connections go silent for good.
IDLE_S = 20.0
_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
    503: "Service Unavailable",
}


@attrs.define(kw_only=True, slots=True)
class Request:
    """A request, whole.

    Attributes:
        method: Its method.
        path: Its path, without a query.
        body: Its body.
        peer: Where it came from.
        context: What the handler keeps for later requests of the connection.
    """

    method: str
    path: str
    body: bytes
    peer: str
    context: dict[str, object] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Response:
    """What is answered.

    Attributes:
        status: Status code.
        body: Body.
        content_type: Its type.
    """

    status: int
    body: bytes = b"{}"
    content_type: str = "application/json"


Handler = Callable[[Request], Awaitable[Response] | Response]


@attrs.define(kw_only=True, slots=True, eq=False)
class _Slot:
    """The place of a response in the order of a connection's requests.

    Attributes:
        response: The response, or None while it is awaited.
        is_kept: Whether the connection stays open after it.
    """

    response: Response | None = None
    is_kept: bool = False


class _Connection(asyncio.Protocol):
    def __init__(self, *, handler: Handler) -> None:
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._body: list[bytes] = []
        self._size_bytes = 0
        self._context: dict[str, object] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        # Requests may arrive before earlier ones are answered; responses keep their order.
        self._slots = collections.deque[_Slot]()
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._restart_timer()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(IDLE_S, self._transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        self._restart_timer()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            self._fail(error)
        except httptools.HttpParserError:
            self._reply(Response(status=400), is_kept=False)

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_body(self, body: bytes) -> None:
        self._size_bytes += len(body)
        if self._size_bytes > BODY_LIMIT_BYTES:
            self._reply(Response(status=413), is_kept=False)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        peer = self._transport.get_extra_info("peername") or ("unknown", 0)
        request = Request(
            method=self._parser.get_method().decode(),
            path=self._url.partition(b"?")[0].decode("latin-1"),
            body=b"".join(self._body),
            peer=f"{peer[0]}:{peer[1]}",
            context=self._context,
        )
        self._url, self._body, self._size_bytes = b"", [], 0
        slot = _Slot(is_kept=self._parser.should_keep_alive())
        self._slots.append(slot)
        try:
            answer = self._handler(request)
        except Exception:
            self._slots.remove(slot)
            raise
        if isinstance(answer, Response):
            self._fill(slot, answer)
            return
        task = asyncio.ensure_future(self._reply_later(answer, slot))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reply_later(self, answer: Awaitable[Response], slot: _Slot) -> None:
        try:
            response = await answer
        except Exception as error:
            slot.is_kept = False
            self._report(error)
            self._fill(slot, Response(status=503))
            raise
        self._fill(slot, response)

    def _fail(self, error: Exception) -> None:
        """Reports a fault in a handler; the caller learns that nothing certain can be said."""
        self._report(error)
        self._reply(Response(status=503), is_kept=False)

    @staticmethod
    def _report(error: Exception) -> None:
        context = {"message": "handler of a request failed", "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)

    def _reply(self, response: Response, is_kept: bool) -> None:
        self._slots.append(_Slot(response=response, is_kept=is_kept))
        self._write_ready()

    def _fill(self, slot: _Slot, response: Response) -> None:
        slot.response = response
        self._write_ready()

    def _write_ready(self) -> None:
        """Writes the responses that no earlier request's response is awaited for."""
        while self._slots and self._slots[0].response is not None:
            slot = self._slots.popleft()
            self._write(slot.response, slot.is_kept)

    def _write(self, response: Response, is_kept: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        head = (
            f"HTTP/1.1 {response.status} {_REASONS.get(response.status, 'Unknown')}\r\n"
            f"Content-Type: {response.content_type}\r\n"
            f"Content-Length: {len(response.body)}\r\n"
            f"{'' if is_kept else 'Connection: close' + chr(13) + chr(10)}\r\n"
        )
        self._transport.write(head.encode() + response.body)
        if not is_kept:
            self._transport.close()


async def listen(handler: Handler, host: str, port: int) -> asyncio.AbstractServer:
    """Serves HTTP.

    Args:
        handler: Answers requests, at once or later.
        host: IP number.
        port: TCP port.

    Raises:
        errors.SettingsError: The port cannot be opened.
    """
    loop = asyncio.get_running_loop()
    try:
        return await loop.create_server(
            lambda: _Connection(handler=handler), host, port, backlog=512
        )
    except OSError as error:
        reason = error.strerror or str(error)
        raise errors.SettingsError(
            step="listen for requests", peer=f"{host}:{port}", reason=reason
        ) from error
