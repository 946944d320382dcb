"""Teams with their API keys, weights and quotas."""

import dataclasses
import hashlib
from collections.abc import Iterable

from .declarations import Size

__all__ = ["UNBOUNDED", "Team", "TeamRegistry", "digest_key"]

UNBOUNDED = 2**62
"""The quota of an unlimited resource; larger than any cluster's capacity."""

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team that shares the workers with other teams.

    Attributes
    ----------
    name
        The team's name.
    weight
        Weight of its share of the workers, relative to the weights of the other teams.
    quota
        The most that its runs may use over all workers; `UNBOUNDED` means no limit.
    key_digests
        Digests of its keys, as returned by `digest_key`. The keys themselves are not stored, so
        they cannot appear in a log, an error or a record.
    """

    name: str
    weight: float
    quota: Size
    key_digests: frozenset[bytes] = frozenset()


def digest_key(key: bytes) -> bytes:
    """Return the digest that identifies a key."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


class TeamRegistry:
    """The teams of one configuration, indexed by name and by key.

    Parameters
    ----------
    teams
        The teams. A key of two teams identifies the first one.
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
        """Return the team with a name, or None."""
        return self._by_name.get(name)

    def find_by_key(self, key: bytes) -> Team | None:
        """Return the team with a key, or None."""
        # The time of the lookup can only reveal digests, from which keys cannot be derived.
        return self._by_digest.get(digest_key(key))

    def share(self, name: str) -> float:
        """Return a team's share of the workers, from 0 to 1; 0 for an unknown team."""
        team = self._by_name.get(name)
        return team.weight / self._total_weight if team is not None and self._total_weight else 0.0
