"""Settings of the leader and of its election, derived from the node's settings."""

from ..jobs.cell import CellSettings
from ..jobs.timeouts import (
    ISOLATION_TIMEOUT_SECONDS,
    LEASE_SECONDS,
    RETENTION_FACTOR,
    lease_expiry_after_claim_seconds,
)
from ..platform.node_settings import PRESSURE, NodeEnvironment

__all__ = ["cell_settings", "claim_delay_seconds"]

_LEADER_CORES = 1.5
"""Cores that a leader of a large deployment needs, bursts included."""

_LEADER_MBPS = 50.0
"""Peak traffic of a leader of a large deployment, with a margin."""

_MAX_CLAIM_DELAY_SECONDS = 0.4
"""The claim delay of the weakest node; a claim takes about 10 ms."""


def cell_settings(
    environment: NodeEnvironment, predecessor_isolation_s: float = ISOLATION_TIMEOUT_SECONDS
) -> CellSettings:
    """Return the settings of a leader on a node.

    Parameters
    ----------
    environment
        The node's settings.
    predecessor_isolation_s
        The isolation timeout of the leaders before it, in seconds.
    """
    lease_s = min(LEASE_SECONDS, environment.lease_limit_s)
    return CellSettings(
        lease_s=lease_s,
        unreached_run_expiry_s=lease_expiry_after_claim_seconds(
            lease_s, max(ISOLATION_TIMEOUT_SECONDS, predecessor_isolation_s)
        ),
        gang_wait_s=environment.gang_wait_s,
        early_s=environment.early_s,
        stop_s=environment.stop_s,
        retention_s=RETENTION_FACTOR * environment.status_s,
        quota_overage=environment.quota_overage,
        summarizes_load=PRESSURE in environment.contracts,
    )


def claim_delay_seconds(environment: NodeEnvironment) -> float:
    """Return how long a node waits before a claim, to let stronger nodes claim first, in seconds.

    The delay grows with the share of a leader's cores or link bandwidth that the node lacks.
    """
    core_shortfall = 1 - environment.cpu_cores / _LEADER_CORES
    link_shortfall = 1 - environment.link_mbps / _LEADER_MBPS
    shortfall = max(core_shortfall, link_shortfall, 0.0)
    return shortfall * _MAX_CLAIM_DELAY_SECONDS
