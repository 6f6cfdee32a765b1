"""The command line: parses and prints only."""

import asyncio
import collections
import json
import pathlib
import signal
import sys
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
import tabulate
from absl import flags

from zinniaspoke import demo, errors, porcelain, settings, where
from zinniaspoke.adapters import logs
from zinniaspoke.proto import control_pb2

EXIT_OK = 0
EXIT_NO = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
DEFAULT_OPERATOR_SETTINGS = "operator.json"
BURN_WINDOWS = ("5 min", "1 h", "6 h", "3 d")

Run = Callable[[flags.FlagValues, list[str]], int]


@attrs.frozen(kw_only=True)
class Command:
    """A command with its flags and help.

    Attributes:
        run: Runs it and returns the exit status.
        usage: What follows the program's name.
        text: What it does.
        flag_values: Its flags.
    """

    run: Run
    usage: str
    text: str
    flag_values: flags.FlagValues


_COMMANDS: dict[str, Command] = {}


def _command(usage: str, text: str, *define: Callable[[flags.FlagValues], None]) -> Callable:
    """Registers a command under the first word of its usage."""

    def register(run: Run) -> Run:
        values = flags.FlagValues()
        for one in define:
            one(values)
        _COMMANDS[usage.split()[0]] = Command(run=run, usage=usage, text=text, flag_values=values)
        return run

    return register


def _settings_flag(values: flags.FlagValues) -> None:
    flags.DEFINE_string("settings", None, "Settings file (JSON).", flag_values=values)


def _operator_flag(values: flags.FlagValues) -> None:
    text = "Operator's settings file (JSON)."
    flags.DEFINE_string("settings", DEFAULT_OPERATOR_SETTINGS, text, flag_values=values)


def _number_flag(values: flags.FlagValues) -> None:
    text = "The rule file's number: one more than the number in force."
    flags.DEFINE_integer("number", None, text, lower_bound=1, flag_values=values)


def _json_flag(values: flags.FlagValues) -> None:
    flags.DEFINE_boolean("json", False, "Print JSON.", flag_values=values)


def _html_flag(values: flags.FlagValues) -> None:
    text = "Write one self-contained HTML page here."
    flags.DEFINE_string("html", None, text, flag_values=values)


def _target_flag(values: flags.FlagValues) -> None:
    text = "Drain this target instead of an entry VM; its name as status shows it."
    flags.DEFINE_string("target", None, text, flag_values=values)
    flags.DEFINE_boolean("undo", False, "Take a target's drain back.", flag_values=values)


def _seed_flag(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("seed", 1, "Seed of the demo's random choices.", flag_values=values)


def _services_flag(values: flags.FlagValues) -> None:
    text = "Services that get an announcement token, separated by commas."
    flags.DEFINE_list("services", [], text, flag_values=values)


def _need(values: flags.FlagValues, name: str) -> object:
    value = values[name].value
    if value is None:
        raise flags.Error(f"--{name} is missing")
    return value


def _one(words: list[str], what: str) -> str:
    if len(words) != 1:
        raise flags.Error(f"takes one {what}")
    return words[0]


def _none(words: list[str]) -> None:
    if words:
        raise flags.Error(f"takes no {words[0]!r}")


def _operator(values: flags.FlagValues) -> settings.OperatorSettings:
    return settings.load_operator(str(_need(values, "settings")))


def _print_json(body: object) -> None:
    print(json.dumps(body, indent=2))


def _print_table(rows: Sequence[Sequence[object]], headers: Sequence[str]) -> None:
    print(tabulate.tabulate(rows, headers=headers, tablefmt="simple"))


class Daemon(Protocol):
    """What the command line needs of a daemon."""

    async def start(self) -> None:
        """Opens the sockets."""

    async def leave(self) -> None:
        """Leaves as planned."""

    async def wait_ended(self) -> None:
        """Waits until the daemon has nothing left to do, or raises why it cannot go on."""

    async def stop(self) -> None:
        """Closes the sockets."""


async def _run_daemon(daemon: Daemon) -> None:
    """Runs a daemon until it ends or a signal comes; a second signal cuts its leave short."""
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[None] = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, None)
    await daemon.start()
    try:
        ended = asyncio.ensure_future(daemon.wait_ended())
        await _first(ended, asyncio.ensure_future(signals.get()))
        if not ended.done():
            leaving = asyncio.ensure_future(daemon.leave())
            await _first(leaving, asyncio.ensure_future(signals.get()))
        else:
            ended.result()
    finally:
        await daemon.stop()


async def _first(*futures: asyncio.Future) -> None:
    await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)


@_command(
    "entry --settings=FILE",
    "Runs an entry VM; SIGTERM is a planned stop that drains.",
    _settings_flag,
)
def _run_entry(values: flags.FlagValues, words: list[str]) -> int:
    _none(words)
    config = settings.load_entry(str(_need(values, "settings")))
    logs.open_destination(config.log_file)
    daemon = porcelain.build_entry(config)
    asyncio.run(_run_daemon(daemon))
    return EXIT_OK


@_command(
    "control --settings=FILE",
    "Runs a control replica; SIGTERM gives leadership away first.",
    _settings_flag,
)
def _run_control(values: flags.FlagValues, words: list[str]) -> int:
    _none(words)
    config = settings.load_control(str(_need(values, "settings")))
    logs.open_destination(config.log_file)
    daemon = porcelain.build_control(config)
    asyncio.run(_run_daemon(daemon))
    return EXIT_OK


@_command("check FILE", "Checks a rule file without submitting it.")
def _run_check(_: flags.FlagValues, words: list[str]) -> int:
    path = _one(words, "rule file")
    found = porcelain.check(path)
    print(f"yes: {len(found.rules)} rules for {len(found.services())} services")
    return EXIT_OK


@_command(
    "submit --number=N FILE",
    "Submits a rule file: yes (exit 0), no (exit 1) or unknown (exit 3).",
    _operator_flag,
    _number_flag,
)
def _run_submit(values: flags.FlagValues, words: list[str]) -> int:
    path = _one(words, "rule file")
    number = int(_need(values, "number"))
    reply = asyncio.run(porcelain.submit(_operator(values), number, path))
    return _print_reply(reply, f"resend number {number} with the same file")


def _print_reply(reply: control_pb2.SubmitReply, advice: str) -> int:
    if reply.outcome == control_pb2.SUBMIT_OUTCOME_YES:
        print(f"yes: {reply.reason}")
        return EXIT_OK
    if reply.outcome == control_pb2.SUBMIT_OUTCOME_NO:
        print(f"no: {reply.reason}")
        return EXIT_NO
    print(f"unknown: {advice} ({reply.reason})")
    return EXIT_UNKNOWN


@_command(
    "evacuate ZONE",
    "Gives a zone's targets no new flows: yes (exit 0), no (exit 1) or unknown (exit 3).",
    _operator_flag,
)
def _run_evacuate(values: flags.FlagValues, words: list[str]) -> int:
    reply = asyncio.run(porcelain.order_zone(_operator(values), _one(words, "zone"), True))
    return _print_reply(reply, "give the order again")


@_command(
    "restore ZONE",
    "Ends the evacuation of a zone: yes (exit 0), no (exit 1) or unknown (exit 3).",
    _operator_flag,
)
def _run_restore(values: flags.FlagValues, words: list[str]) -> int:
    reply = asyncio.run(porcelain.order_zone(_operator(values), _one(words, "zone"), False))
    return _print_reply(reply, "give the order again")


@_command("show [--json]", "Prints the rules in force.", _operator_flag, _json_flag)
def _run_show(values: flags.FlagValues, words: list[str]) -> int:
    _none(words)
    found = asyncio.run(porcelain.show(_operator(values)))
    note = "" if found.is_majority else " (possibly old: no majority answered)"
    if values["json"].value:
        _print_json(
            {
                "number": found.file.number,
                "is_possibly_old": not found.is_majority,
                "lines": found.file.content.decode().splitlines(),
            }
        )
        return EXIT_OK
    print(f"number {found.file.number} is in force{note}\n")
    print(found.file.content.decode())
    return EXIT_OK


@_command(
    "status [--json]",
    "Prints every entry VM, control replica and target.",
    _operator_flag,
    _json_flag,
)
def _run_status(values: flags.FlagValues, words: list[str]) -> int:
    _none(words)
    found = asyncio.run(porcelain.status_of_all(_operator(values)))
    if values["json"].value:
        _print_json(attrs.asdict(found))
        return EXIT_OK
    rows = [
        (v.name, v.zone, v.state, v.rule_number, v.flow_count, v.waiting_count, _contact(v, found))
        for v in found.entries
    ]
    rows += [(address, "", reason, "", "", "", "") for address, reason in found.silent.items()]
    headers = ("entry VM", "zone", "state", "rules", "flows", "waiting", "last contact s")
    _print_table(rows, headers)
    print()
    replicas = [
        (r.address, r.name, r.role, r.term, r.rule_number, r.entry_count) for r in found.replicas
    ]
    _print_table(replicas, ("control replica", "name", "role", "term", "rules", "entries"))
    print()
    print(f"evacuated zones: {', '.join(found.evacuated_zones()) or 'none'}\n")
    targets = [
        (t.name, t.zone, t.state, t.lease_left_s, t.short_count, t.long_count, t.ejection)
        for t in found.targets()
    ]
    _print_table(targets, ("target", "zone", "state", "lease s", "short", "long", "ejected"))
    return EXIT_OK


def _contact(vm: object, found: porcelain.SystemStatus) -> object:
    """Longest time since any sibling last heard this VM."""
    heard = [m.heard_ago_s for v in found.entries for m in v.members if m.name == vm.name]
    return max(heard, default="")


@_command(
    "drain [VM] [--target=NAME [--undo]]",
    "Starts the planned leave of an entry VM, or drains a target.",
    _operator_flag,
    _target_flag,
)
def _run_drain(values: flags.FlagValues, words: list[str]) -> int:
    config = _operator(values)
    target = values["target"].value
    if target is not None:
        _none(words)
        is_held = not values["undo"].value
        asyncio.run(porcelain.hold_target(config, target, is_held))
        print(f"yes: {target} {'gets no new work' if is_held else 'takes new work again'}")
        return EXIT_OK
    name = _one(words, "entry VM's name, or --target")
    asyncio.run(porcelain.drain_vm(config, name))
    print(f"yes: {name} leaves; it stops when its flows are safe elsewhere")
    return EXIT_OK


@_command(
    "explain FLOW [--json]",
    "Tells where a flow goes and why; FLOW is 'tcp CALLER:PORT SERVICE:PORT'.",
    _operator_flag,
    _json_flag,
)
def _run_explain(values: flags.FlagValues, words: list[str]) -> int:
    found = asyncio.run(porcelain.explain(_operator(values), " ".join(words)))
    if values["json"].value:
        _print_json([attrs.asdict(one) for one in found])
        return EXIT_OK
    rows = [
        (f.vm, f.home, f.placer, f.record or f.placement or f.witness, f.base, f.reason)
        for f in found
    ]
    _print_table(rows, ("entry VM", "home", "placer", "target", "base target", "why"))
    return EXIT_OK


def _vm_flag(values: flags.FlagValues) -> None:
    text = "HOST:PORT of the entry VM's metrics address."
    flags.DEFINE_string("vm", None, text, flag_values=values)
    text = "Number of flows, from the caller's port upwards."
    flags.DEFINE_integer("count", 1, text, lower_bound=1, flag_values=values)


@_command(
    "where --vm=HOST:PORT [--count=N] [--json] CALLER:PORT SERVICE:PORT",
    "Tells where flows would go now, and why, without sending them.",
    _vm_flag,
    _json_flag,
)
def _run_where(values: flags.FlagValues, words: list[str]) -> int:
    if len(words) != 2:
        raise flags.Error("takes CALLER:PORT SERVICE:PORT")
    question = where.parse(words[0], words[1], values["count"].value)
    found = asyncio.run(porcelain.ask_where(str(_need(values, "vm")), question))
    answers = found["flows"]
    if values["json"].value:
        _print_json(found)
    else:
        spread = collections.Counter((a["outcome"], a["target"], a["reason"]) for a in answers)
        rows = [(*key, count) for key, count in spread.most_common()]
        _print_table(rows, ("outcome", "target", "reason", "flows"))
        first = answers[0]
        print(f"\nrule file {first['rules_number']}, {first['rule'] or 'no rule'}")
        print(f"service {first['service'] or '-'}, {first['queued_count']} openings wait")
        _print_table(first["steps"], ("step", "targets left"))
        headers = ("target", "zone", "in flight", "unanswered", "answered s ago")
        _print_table(first["candidates"], headers)
    has_target = all(a["target"] for a in answers)
    return EXIT_OK if has_target else EXIT_NO


@_command(
    "report [--json] [--html=FILE]",
    "Prints the service-level burn of every service.",
    _operator_flag,
    _json_flag,
    _html_flag,
)
def _run_report(values: flags.FlagValues, words: list[str]) -> int:
    _none(words)
    found = asyncio.run(porcelain.report(_operator(values)))
    if values["html"].value:
        pathlib.Path(values["html"].value).write_text(found.to_html(), encoding="utf-8")
        print(f"wrote {values['html'].value}")
        return EXIT_OK
    if values["json"].value:
        _print_json([attrs.asdict(one) for one in found.burns])
        return EXIT_OK
    rows = [
        (b.service, b.kind, f"{b.objective:.2%}", *map(_rate, b.rates), f"{b.budget_left:.0%}")
        for b in found.burns
    ]
    _print_table(rows, ("service", "promise", "objective", *BURN_WINDOWS, "budget left"))
    return EXIT_OK


def _rate(rate: float | None) -> str:
    return "-" if rate is None else f"{rate:.2f}"


@_command(
    "secrets --services=A,B FOLDER",
    "Writes fresh keys and tokens for a new deployment.",
    _services_flag,
)
def _run_secrets(values: flags.FlagValues, words: list[str]) -> int:
    folder = _one(words, "folder")
    written = porcelain.create_secrets(folder, values["services"].value)
    print(f"wrote {len(written)} files to {folder}; existing ones stay as they are")
    return EXIT_OK


@_command(
    "demo [--seed=N]",
    "Runs a whole deployment on loopback, changes it, and counts what broke.",
    _seed_flag,
)
def _run_demo(values: flags.FlagValues, words: list[str]) -> int:
    _none(words)
    result = demo.run(values["seed"].value)
    print("good" if result.is_good else "NOT good", flush=True)
    return EXIT_OK if result.is_good else EXIT_NO


def _overview() -> str:
    width = max(len(command.usage) for command in _COMMANDS.values())
    lines = ["usage: zinniaspoke COMMAND [FLAGS] [FILE]", ""]
    lines += [f"  {c.usage:<{width}}  {c.text}" for c in _COMMANDS.values()]
    lines += ["", "zinniaspoke COMMAND --help tells more."]
    return "\n".join(lines)


def _help(command: Command) -> str:
    lines = [f"usage: zinniaspoke {command.usage}", "", command.text, ""]
    for name in command.flag_values:
        flag = command.flag_values[name]
        default = "" if flag.default in (None, []) else f" Default: {flag.default}."
        lines.append(f"  --{name}: {flag.help}{default}")
    return "\n".join(lines).rstrip()


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
    name = words[0]
    command = _COMMANDS.get(name)
    if command is None:
        hint = porcelain.suggest(name, list(_COMMANDS))
        print(f"zinniaspoke: no command {name!r}{hint}", file=sys.stderr)
        return EXIT_USAGE
    if "--help" in words[1:] or "-h" in words[1:]:
        print(_help(command))
        return EXIT_OK
    try:
        command.flag_values.unparse_flags()
        rest = command.flag_values(["zinniaspoke", *words[1:]])
        return command.run(command.flag_values, rest[1:])
    except BrokenPipeError:
        sys.stderr.close()  # The reader went away; nothing more can be said to it.
        return EXIT_OK
    except (flags.Error, errors.SettingsError) as error:
        print(f"zinniaspoke {name}: {error}", file=sys.stderr)
        return EXIT_USAGE
    except errors.RuleError as error:
        for fault in error.reason.split("; "):
            print(f"no: {fault}", file=sys.stderr)
        return EXIT_NO
    except errors.UnreachableError as error:
        print(f"zinniaspoke {name}: {error}", file=sys.stderr)
        return EXIT_UNKNOWN
    except errors.Error as error:
        print(f"zinniaspoke {name}: {error}", file=sys.stderr)
        return EXIT_NO


if __name__ == "__main__":
    sys.exit(main())
