"""Which machine reaches which, and the TCP proxy between them."""

import asyncio
import functools

import attrs

from soak import launcher

POLL_S = 0.03
CHUNK_BYTES = 65536
# Stands for all VMs in a cut: callers, targets and operators reach either side.
VMS = "vms"


@attrs.define(kw_only=True, eq=False)
class _Connection:
    source: str
    destination: str
    writers: list[asyncio.StreamWriter] = attrs.field(factory=list)
    is_silent: bool = False


class Net:
    """Paths between addresses; one way each.

    Attributes:
        zone_of: Zone of each machine's address.
        vms: Addresses of VMs.
    """

    def __init__(self, *, zone_of: dict[str, str]) -> None:
        """Starts with all paths open."""
        self.zone_of = zone_of
        self.vms = frozenset(zone_of)
        self._cuts: list[tuple[str, str]] = []
        self._delays: dict[str, float] = {}
        self._connections: set[_Connection] = set()
        self._servers: list[asyncio.AbstractServer] = []
        self._tasks: set[asyncio.Task[None]] = set()
        # Callers over HTTP use a connection until it fails.
        self._kept: dict[tuple, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}

    def cut(self, source: str, destination: str) -> tuple[str, str]:
        """Cuts the paths from an address, a zone or ``*`` to another; returns what heals it."""
        self._cuts.append((source, destination))
        return self._cuts[-1]

    def heal(self, cut: tuple[str, str]) -> None:
        """Joins again."""
        self._cuts.remove(cut)

    def delay(self, host: str, delay_s: float) -> None:
        """Delays what an address sends or receives by TCP; 0 ends it."""
        self._delays[host] = delay_s

    def _matches(self, pattern: str, host: str, other: str) -> bool:
        if pattern == VMS:
            return host in self.vms
        if pattern in ("*", host):
            return True
        return pattern == self.zone_of.get(host) != self.zone_of.get(other)

    def reaches(self, source: str, destination: str) -> bool:
        """Whether packets pass from one address to another now."""
        if source == destination:
            return True
        return not any(
            self._matches(a, source, destination) and self._matches(b, destination, source)
            for a, b in self._cuts
        )

    def reset(self, host: str) -> None:
        """Resets the connections of an address."""
        for connection in list(self._connections):
            if host in (connection.source, connection.destination):
                for writer in connection.writers:
                    writer.transport.abort()

    def silence(self) -> None:
        """Silences all open connections for good, without a reset; new ones work."""
        for connection in self._connections:
            connection.is_silent = True

    async def proxy(self, host: str, port: int) -> None:
        """Serves the address that peers know of a machine."""

        # Not a coroutine function: CPython 3.11.7 and 3.12.1 report a cancelled one as a failure.
        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.create_task(self._carry(host, port, reader, writer))
            self._tasks.add(task)
            task.add_done_callback(functools.partial(self._end, writer))

        self._servers.append(await asyncio.start_server(accept, host, port, backlog=512))

    def _end(self, writer: asyncio.StreamWriter, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        # A task that is cancelled before its first step has closed nothing itself.
        writer.transport.abort()
        if not task.cancelled() and task.exception() is not None:
            asyncio.get_running_loop().call_exception_handler(
                {"message": "Proxy failed", "exception": task.exception(), "task": task}
            )

    async def _carry(
        self, host: str, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        link = _Connection(source=source, destination=host, writers=[writer])
        self._connections.add(link)
        try:
            while not self.reaches(source, host) and not reader.at_eof():
                await asyncio.sleep(POLL_S)
            onward = await asyncio.open_connection(
                launcher.behind(host), port, local_addr=(source, 0)
            )
            link.writers.append(onward[1])
            await asyncio.gather(
                self._pump(link, source, host, reader, onward[1]),
                self._pump(link, host, source, onward[0], writer),
            )
        except OSError:
            pass
        finally:
            self._connections.discard(link)
            for end in link.writers:
                end.transport.abort()

    async def _pump(
        self,
        link: _Connection,
        source: str,
        destination: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            delay_s = max(self._delays.get(source, 0.0), self._delays.get(destination, 0.0))
            if delay_s:
                await asyncio.sleep(delay_s)
            while link.is_silent or not self.reaches(source, destination):
                if writer.is_closing():
                    break
                await asyncio.sleep(POLL_S)
            if not data:
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()

    def close(self) -> None:
        """Closes the proxy."""
        for server in self._servers:
            server.close()
        for _, writer in self._kept.values():
            writer.transport.abort()
        for connection in list(self._connections):
            for writer in connection.writers:
                writer.transport.abort()

    async def call(
        self,
        source: str,
        endpoint: tuple[str, int],
        method: str,
        path: str,
        body: bytes = b"",
        limit_s: float = 1.0,
    ) -> tuple[int, bytes] | None:
        """Calls a machine over HTTP; None without a clear answer."""
        if not self.reaches(source, endpoint[0]):
            await asyncio.sleep(limit_s)
            return None
        key = (source, endpoint)
        kept, is_kept = self._kept.pop(key, None), False
        try:
            async with asyncio.timeout(limit_s):
                if kept is None or kept[1].is_closing():
                    kept = await asyncio.open_connection(*endpoint, local_addr=(source, 0))
                reader, writer = kept
                head = f"{method} {path} HTTP/1.1\r\nHost: soak\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = int(head.partition("content-length:")[2].split()[0])
                answer = await reader.readexactly(length)
                if not self.reaches(endpoint[0], source):
                    await asyncio.sleep(limit_s)
                is_kept = "connection: close" not in head and key not in self._kept
                return int(head.split()[1]), answer
        except (OSError, EOFError, TimeoutError, IndexError, ValueError):
            return None
        finally:
            if is_kept:
                self._kept[key] = kept
            elif kept is not None:
                kept[1].transport.abort()
