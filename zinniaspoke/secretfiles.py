"""Keys and tokens, read from files of one folder and never logged."""

import os
import pathlib
import secrets
from collections.abc import Sequence

import attrs

from zinniaspoke import errors

KEY_LEAST_BYTES = 16
KEY_MOST_BYTES = 64
DATAGRAM_KEY = "datagram.key"
DATAGRAM_NEXT_KEY = "datagram.next.key"
ANNOUNCE_PREFIX = "announce-"
OPERATOR_PREFIX = "operator-"
TOKEN_SUFFIX = ".token"
ROLES = ("read", "submit", "drain", "replica")
TOKEN_BYTES = 24


@attrs.frozen(kw_only=True)
class Secrets:
    """The secrets of one process.

    Attributes:
        datagram_keys: Keys for datagrams; the first signs, all are taken.
        announce_tokens: Announcement token by service.
        operator_tokens: Operator token by role.
    """

    datagram_keys: tuple[bytes, ...] = attrs.field(repr=False)
    announce_tokens: dict[str, str] = attrs.field(repr=False)
    operator_tokens: dict[str, str] = attrs.field(repr=False)


def _error(peer: str, reason: str) -> errors.SettingsError:
    return errors.SettingsError(step="read secrets", peer=peer, reason=reason)


def load(folder: str) -> Secrets:
    """Reads the secrets.

    Args:
        folder: Path of the folder.

    Returns:
        The secrets.

    Raises:
        errors.SettingsError: The folder or the datagram key cannot be read or is too short.
    """
    path = pathlib.Path(folder)
    if not path.is_dir():
        raise _error(folder, "is not a folder")
    keys = [_read_key(path / DATAGRAM_KEY)]
    if (path / DATAGRAM_NEXT_KEY).exists():
        keys.append(_read_key(path / DATAGRAM_NEXT_KEY))
    return Secrets(
        datagram_keys=tuple(keys),
        announce_tokens=_read_tokens(path, ANNOUNCE_PREFIX),
        operator_tokens=_read_tokens(path, OPERATOR_PREFIX),
    )


def load_operator_token(folder: str, role: str) -> str:
    """Reads one operator token; an operator needs no other secret.

    Args:
        folder: Path of the folder.
        role: One of ``ROLES``.

    Returns:
        The token.

    Raises:
        errors.SettingsError: It cannot be read.
    """
    path = pathlib.Path(folder) / f"{OPERATOR_PREFIX}{role}{TOKEN_SUFFIX}"
    try:
        return path.read_text(encoding="utf-8").strip()
    except OSError as error:
        raise _error(str(path), error.strerror or str(error)) from error


def create(folder: str, services: Sequence[str]) -> list[str]:
    """Writes fresh secrets for a new deployment; files that exist stay as they are.

    Args:
        folder: Path of the folder.
        services: Services that get an announcement token.

    Returns:
        Names of the files that were written.

    Raises:
        errors.SettingsError: The folder cannot be written.
    """
    names = [DATAGRAM_KEY]
    names += [f"{OPERATOR_PREFIX}{role}{TOKEN_SUFFIX}" for role in ROLES]
    names += [f"{ANNOUNCE_PREFIX}{service}{TOKEN_SUFFIX}" for service in services]
    try:
        path = pathlib.Path(folder)
        path.mkdir(parents=True, exist_ok=True, mode=0o700)
        return [name for name in names if _create_file(path / name)]
    except OSError as error:
        raise _error(folder, error.strerror or str(error)) from error


def _create_file(path: pathlib.Path) -> bool:
    try:
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except FileExistsError:
        return False
    with os.fdopen(handle, "w", encoding="utf-8") as file:
        file.write(secrets.token_hex(TOKEN_BYTES) + "\n")
    return True


def _read_key(path: pathlib.Path) -> bytes:
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise _error(str(path), error.strerror or str(error)) from error
    if not KEY_LEAST_BYTES <= len(key) <= KEY_MOST_BYTES:
        raise _error(str(path), f"has not {KEY_LEAST_BYTES} to {KEY_MOST_BYTES} bytes")
    return key


def _read_tokens(folder: pathlib.Path, prefix: str) -> dict[str, str]:
    found = {}
    for path in sorted(folder.glob(f"{prefix}*{TOKEN_SUFFIX}")):
        name = path.name.removeprefix(prefix).removesuffix(TOKEN_SUFFIX)
        found[name] = path.read_text(encoding="utf-8").strip()
    return found
