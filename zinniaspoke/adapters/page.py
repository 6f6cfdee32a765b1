"""A small HTTP/1.1 port on httptools, for processes that cannot carry a web framework."""

import asyncio
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
    """

    method: str
    path: str
    body: bytes
    peer: str


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


class _Connection(asyncio.Protocol):
    def __init__(self, *, handler: Handler) -> None:
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._body: list[bytes] = []
        self._size_bytes = 0
        self._tasks: set[asyncio.Task[None]] = set()
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
        )
        self._url, self._body, self._size_bytes = b"", [], 0
        is_kept = self._parser.should_keep_alive()
        answer = self._handler(request)
        if isinstance(answer, Response):
            self._reply(answer, is_kept)
            return
        task = asyncio.ensure_future(self._reply_later(answer, is_kept))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reply_later(self, answer: Awaitable[Response], is_kept: bool) -> None:
        try:
            response = await answer
        except Exception as error:
            self._fail(error)
            raise
        self._reply(response, is_kept)

    def _fail(self, error: Exception) -> None:
        """Tells of a fault in a handler; the caller learns that nothing certain can be said."""
        context = {"message": "handler of a request failed", "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)
        self._reply(Response(status=503), is_kept=False)

    def _reply(self, response: Response, is_kept: bool) -> None:
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
