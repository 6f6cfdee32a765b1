"""Runs inside each process before the program: ``python -m soak.launcher control|entry``."""

import os
import pathlib
import runpy
import signal
import sys
import time

# What this module takes to load is not the program's.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# As the programs have it.
sys.modules["ssl"] = None

import asyncio  # noqa: E402

from soak import mutations, shim  # noqa: E402
from zinniaspoke import storage  # noqa: E402
from zinniaspoke.daemons import lean  # noqa: E402

# A process at 127.X.Y.Z listens for peers at 127.X.(Y + 100).Z; the proxy has the known address.
SHIFT = 100


def behind(host: str) -> str:
    """Returns where a process listens whose known address is the proxy's."""
    first, second, third, last = host.split(".")
    return f"{first}.{second}.{int(third) + SHIFT}.{last}"


def _move_peer_port(own_host: str, peer_port: int) -> None:
    loop_class = asyncio.base_events.BaseEventLoop
    create_server, create_connection = loop_class.create_server, loop_class.create_connection

    async def serve(self, factory, host=None, port=None, **options):
        host = behind(host) if port == peer_port else host
        return await create_server(self, factory, host, port, **options)

    async def dial(self, factory, host=None, port=None, **options):
        options.setdefault("local_addr", (own_host, 0))
        return await create_connection(self, factory, host, port, **options)

    loop_class.create_server, loop_class.create_connection = serve, dial


def main() -> None:
    """Prepares this process and runs the program."""
    role = sys.argv[1]
    _move_peer_port(os.environ["SOAK_HOST"], int(os.environ["SOAK_PEER_PORT"]))
    storage.DiskStorage = shim.FaultyStorage
    offset_s = float(os.environ.get("SOAK_CLOCK_S", "0"))
    lean.now_s = lambda: time.clock_gettime(time.CLOCK_BOOTTIME) + offset_s
    folder = pathlib.Path(__file__).resolve().parent.parent / "platform"
    sys.path.insert(0, str(folder))
    mutation = os.environ.get("SOAK_MUTATION", "")
    if mutation:
        mutations.apply(mutation, role)
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    runpy.run_path(str(folder / f"{role}.py"), run_name="__main__")


if __name__ == "__main__":
    main()
