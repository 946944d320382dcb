"""Settings of the leader and of its election, derived from the node's settings."""

from ..jobs.cell import CellSettings
from ..jobs.timeouts import (
    AUTHORITY_SECONDS,
    LEASE_SECONDS,
    RETENTION_FACTOR,
    lease_expiry_after_claim_seconds,
)
from ..platform.node_settings import PRESSURE, NodeEnvironment

__all__ = ["cell_settings", "claim_delay_seconds"]

_LEADER_CORES = 1.5
"""Cores that a leader of a large deployment needs, bursts included."""

_MIN_PASS_TIME_SHARE = 0.3
_MAX_PASS_TIME_SHARE = 0.5
_MIN_PASS_CORE_SHARE = 0.5
"""Fraction of the time for placement passes: the smaller one up to half of a leader's cores, the
larger one from all of them on. All of 300 gangs that wait at once are asked about within 7.4 s with
0.3, and within 4.8 s with 0.5."""

_EXAMINATION_SECONDS = 10e-6
"""Approximate time to examine one worker for one step on one core. A faster VM needs less; with the
time of one core, a leader of two cores searched for 130 short jobs a second and left the rest
waiting beside free room."""

_LEADER_MBPS = 50.0
"""Peak traffic of a leader of a large deployment, with a margin."""

_MAX_CLAIM_DELAY_SECONDS = 0.4
"""The claim delay of the weakest node; a claim takes about 10 ms."""


def cell_settings(
    environment: NodeEnvironment, earlier_authority_s: float = AUTHORITY_SECONDS
) -> CellSettings:
    """Return the settings of a leader on a node.

    Parameters
    ----------
    environment
        The node's settings.
    earlier_authority_s
        How long after its claim earlier leaders may act, in seconds.
    """
    lease_s = min(LEASE_SECONDS, environment.lease_limit_s)
    return CellSettings(
        lease_s=lease_s,
        unreached_run_expiry_s=lease_expiry_after_claim_seconds(lease_s, earlier_authority_s),
        gang_wait_s=environment.gang_wait_s,
        early_s=environment.early_s,
        stop_s=environment.stop_s,
        retention_s=RETENTION_FACTOR * environment.status_s,
        quota_overage=environment.quota_overage,
        pass_time_share=_pass_time_share(environment.cpu_cores),
        examination_s=_EXAMINATION_SECONDS / max(1.0, environment.cpu_cores),
        summarizes_load=PRESSURE in environment.contracts,
        max_record_bytes=environment.store.record_bytes,
        max_append_bytes=environment.store.call_bytes,
        max_job_objects=environment.max_job_objects,
        max_job_bytes=environment.max_job_bytes,
    )


def _pass_time_share(cpu_cores: float) -> float:
    """Return the maximum fraction of the time that a leader spends in placement passes."""
    surplus = cpu_cores / _LEADER_CORES - _MIN_PASS_CORE_SHARE
    part = min(1.0, max(0.0, surplus / (1 - _MIN_PASS_CORE_SHARE)))
    return _MIN_PASS_TIME_SHARE + part * (_MAX_PASS_TIME_SHARE - _MIN_PASS_TIME_SHARE)


def claim_delay_seconds(environment: NodeEnvironment) -> float:
    """Return how long a node waits before a claim, to let stronger nodes claim first, in seconds.

    The delay grows with the share of a leader's cores or link bandwidth that the node lacks.
    """
    core_shortfall = 1 - environment.cpu_cores / _LEADER_CORES
    link_shortfall = 1 - environment.link_mbps / _LEADER_MBPS
    shortfall = max(core_shortfall, link_shortfall, 0.0)
    return shortfall * _MAX_CLAIM_DELAY_SECONDS
