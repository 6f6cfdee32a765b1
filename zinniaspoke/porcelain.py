"""A function for each operator command."""

import difflib
import pathlib
from collections.abc import Sequence

from zinniaspoke import errors, rules, settings
from zinniaspoke.adapters import logs
from zinniaspoke.daemons import control, entry


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
