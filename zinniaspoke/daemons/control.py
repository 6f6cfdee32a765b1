"""The control VM's daemon: settings, adapters, core, loop."""

import asyncio
import random

from zinniaspoke import (
    consensus,
    control,
    errors,
    events,
    log,
    ports,
    secretfiles,
    settings,
    storage,
)
from zinniaspoke.adapters import rpc

TICK_S = 0.02
TRANSFER_LIMIT_S = 2.0


class ControlDaemon:
    """Runs the core of one control replica on sockets and a disk."""

    def __init__(
        self,
        *,
        config: settings.ControlSettings,
        output: ports.LogPort,
        seed: int | None = None,
    ) -> None:
        """Prepares the daemon; opens no socket.

        Args:
            config: The settings.
            output: Where events go.
            seed: Seed of the random source; None for a fresh one.
        """
        self.config = config
        self._output = output
        self._secrets = secretfiles.load(config.secrets_folder)
        self._rng = random.Random(seed)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Reads back the state, opens the port and takes part.

        Raises:
            errors.Error: The data folder or the port cannot be opened.
        """
        config = self.config
        self._files = storage.DiskStorage(folder=config.data_folder)
        try:
            await self._start_server()
        except BaseException:
            self._files.close()
            raise
        self._task = asyncio.get_running_loop().create_task(self._tick_forever())
        peer = f"{config.own.host}:{config.own.port}"
        self._output.write(events.PROCESS_STARTED, "start", config.name, peer)

    async def _start_server(self) -> None:
        config = self.config
        self.core = control.Control(
            name=config.name,
            initial_voters=tuple(replica.name for replica in config.replicas),
            entries=log.Log(files=self._files),
            rng=self._rng,
            now_s=asyncio.get_running_loop().time(),
        )
        self._server = rpc.ControlServer(
            core=self.core,
            replicas=config.replicas,
            own=config.own,
            tls=config.tls,
            tokens=self._secrets.operator_tokens,
            log=self._output,
        )
        await self._server.start()

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.core.tick(self._server.now())
            self._server.flush()

    async def wait_ended(self) -> None:
        """Waits until the replica cannot go on.

        Raises:
            errors.Error: What it met, such as a disk that takes no more bytes.
        """
        try:
            await self._task
        except errors.Error as error:
            self._output.write(events.PROCESS_FAILED, error.step, error.peer, error.reason)
            raise

    async def leave(self) -> None:
        """Gives leadership away before a planned stop."""
        if not self.core.replica.transfer_leadership(self._server.now()):
            return
        self._server.flush()
        deadline_s = self._server.now() + TRANSFER_LIMIT_S
        while self._server.now() < deadline_s:
            if self.core.replica.role is not consensus.Role.LEADER:
                return
            await asyncio.sleep(TICK_S)

    async def stop(self) -> None:
        """Closes the port and the data folder at once."""
        self._task.cancel()
        await self._server.stop()
        self._files.close()
        self._output.write(events.PROCESS_STOPPED, "stop", self.config.name, "")
