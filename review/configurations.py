"""Configurations of the small deployment, in the form of `PROTOCOL.md` and of `fleetbench wire`."""

__all__ = ["HOST", "PREFIX", "SMALL_JOB", "make_configuration"]

HOST = "nony24.example"
PREFIX = "/lohu930/"

SMALL_JOB = {"spec": "small", "steps": [{"count": 2, "cpu": 500, "mem_mb": 256}]}
"""A job of an ordinary client."""


def make_configuration(tenants: dict[str, str] | None = None) -> dict:
    """Return a configuration with one route.

    Parameters
    ----------
    tenants
        The API key of each tenant by name; None for a deployment without keys.
    """
    configuration = {
        "version": 7,
        "routes": [
            {
                "name": "r-wrr6x73",
                "host": HOST,
                "path_prefix": PREFIX,
                "kind": "mutating",
                "timeout_ms": 3000,
                "target_latency_ms": 1000,
                "priority": 1,
                "service": "settle",
                "max_attempts": 4,
                "stretch": 2.2,
            }
        ],
        "services": [
            {
                "name": "settle",
                "health_path": "/health",
                "max_conns": 64,
                "protocol": "h1",
                "tls": False,
                "rejects_overload": False,
                "headroom": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    if tenants is not None:
        configuration["tenants"] = [
            {"name": name, "api_keys": [key], "weight": 1, "max_count": {}}
            for name, key in tenants.items()
        ]
    return configuration
