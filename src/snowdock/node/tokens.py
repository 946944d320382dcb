"""Bearer tokens: who may call what, read from a file that is read again when it changes."""

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
    """What a token's holder may do: an operator may do all that a caller may."""

    OPERATOR = "operator"
    CALLER = "caller"


def read_tokens(path: str) -> dict[bytes, Role]:
    """Read tokens and their roles from sections ``[operator NAME]`` and ``[caller NAME]``.

    Raises
    ------
    TokensUnreadable
        If the file cannot be read, has no token, or has one of less than 16 characters.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        # The text of the error could show a token.
        raise TokensUnreadable(f"cannot read {path}: {type(error).__name__}") from None
    tokens = {}
    for section in parser.sections():
        role = section.partition(" ")[0]
        token = parser[section].get("token", "")
        if role not in list(Role) or len(token) < _SHORTEST:
            raise TokensUnreadable(f"{path} [{section}]: a role and a long token are needed")
        tokens[token.encode()] = Role(role)
    if not tokens:
        raise TokensUnreadable(f"{path} has no tokens")
    return tokens


class TokenBook:
    """The tokens in force.

    Parameters
    ----------
    path
        The tokens file; without one everybody may do everything.

    Raises
    ------
    TokensUnreadable
        If the file cannot be used at the start.
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
        """Let a call pass, or refuse it.

        All tokens are compared, each in constant time, so that the time taken tells nothing.

        Raises
        ------
        Unauthorized
            If there is no token, or an unknown one.
        Forbidden
            If the token's role does not suffice.
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
            raise Unauthorized("a known bearer token is needed")
        if wanted == Role.OPERATOR and found != Role.OPERATOR:
            raise Forbidden("only an operator may do this")

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
