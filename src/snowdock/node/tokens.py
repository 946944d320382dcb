"""Authorization by bearer tokens, which are read from a file and reloaded when it changes."""

import configparser
import enum
import hmac
import os
import pathlib
import threading

from ..clocks import steady_seconds
from ..errors import Forbidden, TokensUnreadable, Unauthorized
from ..logs import log_error, log_event

__all__ = ["Role", "TokenBook", "read_tokens"]

_LOOK_SECONDS = 2.0
_SCHEME = "Bearer "
_SHORTEST = 16


class Role(enum.StrEnum):
    """The role of a token; an operator has all permissions of a caller."""

    OPERATOR = "operator"
    CALLER = "caller"


def read_tokens(path: str) -> dict[bytes, Role]:
    """Read tokens and their roles from sections ``[operator NAME]`` and ``[caller NAME]``.

    Raises
    ------
    TokensUnreadable
        If the file cannot be read, has no tokens, or has one with an unknown role or with fewer
        than 16 characters.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        # The error's message could contain a token.
        raise TokensUnreadable(f"cannot read {path}: {type(error).__name__}") from None
    tokens = {}
    for section in parser.sections():
        role = section.partition(" ")[0]
        token = parser[section].get("token", "")
        if role not in list(Role) or len(token) < _SHORTEST:
            raise TokensUnreadable(f"{path} [{section}]: unknown role or token too short")
        tokens[token.encode()] = Role(role)
    if not tokens:
        raise TokensUnreadable(f"{path} has no tokens")
    return tokens


class TokenBook:
    """The bearer tokens and their roles.

    Parameters
    ----------
    path
        The tokens file; if empty, all requests are authorized.

    Raises
    ------
    TokensUnreadable
        If the file is invalid; a later invalid change of it is only logged.
    """

    def __init__(self, path: str) -> None:
        self._path = path
        self._lock = threading.Lock()
        self._changed_at = 0.0
        self._next_look = 0.0
        self._tokens: dict[bytes, Role] = {}
        if path:
            self._changed_at = os.stat(path).st_mtime if os.path.exists(path) else 0.0
            self._tokens = read_tokens(path)

    def check(self, header: str, wanted: Role) -> None:
        """Check that the token of an ``Authorization`` header has a role.

        The header is compared with all tokens in constant time, to prevent timing attacks.

        Raises
        ------
        Unauthorized
            If the token is missing or unknown.
        Forbidden
            If the token's role is insufficient.
        """
        if not self._path:
            return
        self._look()
        given = header.removeprefix(_SCHEME).encode() if header.startswith(_SCHEME) else b""
        found = None
        for token, role in self._tokens.items():
            if hmac.compare_digest(token, given):
                found = role
        if found is None:
            raise Unauthorized("missing or unknown bearer token")
        if wanted == Role.OPERATOR and found != Role.OPERATOR:
            raise Forbidden("operator role required")

    def _look(self) -> None:
        with self._lock:
            if steady_seconds() < self._next_look:
                return
            self._next_look = steady_seconds() + _LOOK_SECONDS
            try:
                changed_at = os.stat(self._path).st_mtime
                if changed_at == self._changed_at:
                    return
                self._tokens = read_tokens(self._path)
                self._changed_at = changed_at
                log_event("tokens_read", count=len(self._tokens))
            except (OSError, TokensUnreadable) as error:
                log_error("tokens_unreadable", error)
