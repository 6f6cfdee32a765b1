"""The command line: parses and prints only."""

import asyncio
import signal
import sys
from collections.abc import Callable

from absl import flags

from zinniaspoke import demo, errors, porcelain, settings
from zinniaspoke.adapters import logs

EXIT_OK = 0
EXIT_NO = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3

Command = Callable[[flags.FlagValues, list[str]], int]


class _Entry:
    """A command with its flags and help."""

    def __init__(self, *, run: Command, usage: str, flag_values: flags.FlagValues) -> None:
        self.run = run
        self.usage = usage
        self.flag_values = flag_values


_COMMANDS: dict[str, _Entry] = {}


def _command(name: str, usage: str, flag_values: flags.FlagValues) -> Callable:
    """Registers a command under its name."""

    def register(run: Command) -> Command:
        _COMMANDS[name] = _Entry(run=run, usage=usage, flag_values=flag_values)
        return run

    return register


_ENTRY_FLAGS = flags.FlagValues()
flags.DEFINE_string("settings", None, "Settings file (JSON).", flag_values=_ENTRY_FLAGS)
_CONTROL_FLAGS = flags.FlagValues()
flags.DEFINE_string("settings", None, "Settings file (JSON).", flag_values=_CONTROL_FLAGS)
_CHECK_FLAGS = flags.FlagValues()
_DEMO_FLAGS = flags.FlagValues()
flags.DEFINE_integer("seed", 1, "Seed of the demo's random choices.", flag_values=_DEMO_FLAGS)


def _need(values: flags.FlagValues, name: str) -> str:
    value = values[name].value
    if not value:
        raise flags.Error(f"--{name} is missing")
    return value


async def _run_until_signal(start: Callable, leave: Callable, stop: Callable) -> None:
    """Runs a daemon until SIGTERM or SIGINT; a second signal cuts the planned stop short."""
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[None] = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, None)
    await start()
    await signals.get()
    leaving = loop.create_task(leave())
    second = loop.create_task(signals.get())
    await asyncio.wait((leaving, second), return_when=asyncio.FIRST_COMPLETED)
    leaving.cancel()
    second.cancel()
    await stop()


@_command(
    "entry",
    "entry --settings=FILE\n\nRuns an entry VM. SIGTERM is a planned stop that drains.",
    _ENTRY_FLAGS,
)
def _run_entry(values: flags.FlagValues, _: list[str]) -> int:
    config = settings.load_entry(_need(values, "settings"))
    logs.open_destination(config.log_file)
    daemon = porcelain.build_entry(config)

    async def leave() -> None:
        daemon.begin_leave()
        await daemon.wait_left()

    asyncio.run(_run_until_signal(daemon.start, leave, daemon.stop))
    return EXIT_OK


@_command(
    "control",
    "control --settings=FILE\n\nRuns a control replica. SIGTERM gives leadership away first.",
    _CONTROL_FLAGS,
)
def _run_control(values: flags.FlagValues, _: list[str]) -> int:
    config = settings.load_control(_need(values, "settings"))
    logs.open_destination(config.log_file)
    daemon = porcelain.build_control(config)
    asyncio.run(_run_until_signal(daemon.start, daemon.drain, daemon.stop))
    return EXIT_OK


@_command("check", "check FILE\n\nChecks a rule file without submitting it.", _CHECK_FLAGS)
def _run_check(_: flags.FlagValues, words: list[str]) -> int:
    if len(words) != 1:
        raise flags.Error("check takes one rule file")
    try:
        found = porcelain.check(words[0])
    except errors.RuleError as error:
        for fault in error.reason.split("; "):
            print(f"{words[0]}: {fault}", file=sys.stderr)
        return EXIT_NO
    print(f"yes: {len(found.rules)} rules for {len(found.services())} services")
    return EXIT_OK


@_command(
    "demo",
    "demo [--seed=N]\n\nRuns a whole deployment on loopback, changes it, and counts what broke.",
    _DEMO_FLAGS,
)
def _run_demo(values: flags.FlagValues, _: list[str]) -> int:
    result = demo.run(values["seed"].value)
    print("good" if result.is_good else "NOT good", flush=True)
    return EXIT_OK if result.is_good else EXIT_NO


def _overview() -> str:
    lines = ["usage: zinniaspoke COMMAND [FLAGS] [FILE]", ""]
    for entry in _COMMANDS.values():
        head, _, text = entry.usage.partition("\n\n")
        lines.append(f"  zinniaspoke {head:<42} {text}")
    lines += ["", "zinniaspoke COMMAND --help tells more."]
    return "\n".join(lines)


def main(argv: list[str] | None = None) -> int:
    """Runs a command.

    Args:
        argv: Words after the program's name; None for the process's own.

    Returns:
        The exit status.
    """
    words = sys.argv[1:] if argv is None else argv
    if not words or words[0] in ("--help", "-h", "help"):
        print(_overview())
        return EXIT_OK if words else EXIT_USAGE
    command = _COMMANDS.get(words[0])
    if command is None:
        hint = porcelain.suggest(words[0], list(_COMMANDS))
        print(f"zinniaspoke: no command {words[0]!r}{hint}", file=sys.stderr)
        return EXIT_USAGE
    if "--help" in words[1:] or "-h" in words[1:]:
        print(f"usage: zinniaspoke {command.usage}\n\n{_flag_help(command.flag_values)}")
        return EXIT_OK
    try:
        rest = command.flag_values(["zinniaspoke", *words[1:]])
        return command.run(command.flag_values, rest[1:])
    except flags.Error as error:
        print(f"zinniaspoke {words[0]}: {error}", file=sys.stderr)
        return EXIT_USAGE
    except errors.SettingsError as error:
        print(f"zinniaspoke {words[0]}: {error}", file=sys.stderr)
        return EXIT_USAGE
    except errors.Error as error:
        print(f"zinniaspoke {words[0]}: {error}", file=sys.stderr)
        return EXIT_NO


def _flag_help(values: flags.FlagValues) -> str:
    lines = []
    for name in values:
        flag = values[name]
        default = "" if flag.default is None else f" Default: {flag.default}."
        lines.append(f"  --{name}: {flag.help}{default}")
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
