"""Teams: who they are, by which keys they are known, and what they may have running at once."""

import dataclasses
import hashlib
from collections.abc import Iterable

from .declarations import Size

__all__ = ["UNBOUNDED", "Team", "TeamRegistry", "digest_key"]

UNBOUNDED = 2**62
"""A kind of room without a bound: more than all workers together will ever have."""

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """One team that shares the workers with others.

    Attributes
    ----------
    name
        Its name.
    weight
        Its part of full workers, against the weights of the others.
    quota
        The most that it may have running over all workers; `UNBOUNDED` for no bound.
    key_digests
        Digests of its keys, as `digest_key` makes them. The keys themselves are kept nowhere, so
        they can stand in no log, error or record.
    """

    name: str
    weight: float
    quota: Size
    key_digests: frozenset[bytes] = frozenset()


def digest_key(key: bytes) -> bytes:
    """Give the digest under which a key is known."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


class TeamRegistry:
    """The teams of one configuration, found by name and by key.

    Parameters
    ----------
    teams
        The teams. A key that two of them hold is the first one's.
    """

    def __init__(self, teams: Iterable[Team] = ()) -> None:
        self._by_name = {team.name: team for team in teams}
        self._by_digest: dict[bytes, Team] = {}
        for team in self._by_name.values():
            for digest in team.key_digests:
                self._by_digest.setdefault(digest, team)
        self._total_weight = sum(team.weight for team in self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    def find_by_name(self, name: str) -> Team | None:
        """Give a team by its name; None where there is none."""
        return self._by_name.get(name)

    def find_by_key(self, key: bytes) -> Team | None:
        """Give the team that holds a key; None where none does."""
        # How long the look-up takes tells of digests only, from which no key can be worked out.
        return self._by_digest.get(digest_key(key))

    def share(self, name: str) -> float:
        """Give a team's part of full workers, from 0 to 1; 0 for one that is not here."""
        team = self._by_name.get(name)
        return team.weight / self._total_weight if team is not None and self._total_weight else 0.0
