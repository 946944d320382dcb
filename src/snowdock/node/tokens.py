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

__all__ = ["Role", "TokenStore", "read_tokens"]

_RELOAD_INTERVAL_SECONDS = 2.0
_SCHEME = "Bearer "
_MIN_TOKEN_CHARACTERS = 16


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
        if role not in list(Role) or len(token) < _MIN_TOKEN_CHARACTERS:
            raise TokensUnreadable(f"{path} [{section}]: a role and a long token are needed")
        tokens[token.encode()] = Role(role)
    if not tokens:
        raise TokensUnreadable(f"{path} has no tokens")
    return tokens


class TokenStore:
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
        self._modified_at = 0.0
        self._next_check_at = 0.0
        self._tokens: dict[bytes, Role] = {}
        if path:
            self._modified_at = os.stat(path).st_mtime if os.path.exists(path) else 0.0
            self._tokens = read_tokens(path)

    def authorize(self, header: str, required_role: Role) -> None:
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
        self._reload_if_changed()
        token_bytes = header.removeprefix(_SCHEME).encode() if header.startswith(_SCHEME) else b""
        matched_role = None
        for token, role in self._tokens.items():
            if hmac.compare_digest(token, token_bytes):
                matched_role = role
        if matched_role is None:
            raise Unauthorized("a known bearer token is needed")
        if required_role == Role.OPERATOR and matched_role != Role.OPERATOR:
            raise Forbidden("only an operator may do this")

    def _reload_if_changed(self) -> None:
        with self._lock:
            if steady_seconds() < self._next_check_at:
                return
            self._next_check_at = steady_seconds() + _RELOAD_INTERVAL_SECONDS
            try:
                modified_at = os.stat(self._path).st_mtime
                if modified_at == self._modified_at:
                    return
                self._tokens = read_tokens(self._path)
                self._modified_at = modified_at
                log_event("tokens_read", count=len(self._tokens))
            except (OSError, TokensUnreadable) as error:
                log_error("tokens_unreadable", error)
