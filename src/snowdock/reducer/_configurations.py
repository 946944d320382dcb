"""Handler of configuration records, and the reconciliation of declared services."""

from ..declarations import service_spec
from ..effects import Accepted, ConfigurationInForce, Verdict
from ..records import ConfigurationProposed
from ..state import Configuration
from . import _works
from ._common import Context, require

__all__ = ["HANDLERS"]

_SERVICE_KEY = "service:"


def _apply_configuration_proposed(context: Context, record: ConfigurationProposed) -> Verdict:
    state = context.state
    current = state.configuration.version
    require(record.base == current, f"based on version {record.base}, current is {current}")
    # The version is the offset, and version 0 means that there is no configuration. Offset 0
    # is never a configuration, since the first batch of a log is that of a joining node.
    require(context.offset > current, "the new version is not greater than the current one")
    state.configuration = Configuration(context.offset, record.author, record.declarations)
    limits = record.declarations.limits
    # No lease is granted before the first configuration, since work needs a declared team.
    state.longest_lease_ms = max(state.longest_lease_ms, limits.lease_ms)
    _reconcile_services(context)
    context.effects.append(ConfigurationInForce(context.offset))
    return Accepted(context.offset)


def _reconcile_services(context: Context) -> None:
    """Cancel services that are no longer declared and create those that are new.

    A service whose declaration has changed is cancelled and created again.
    """
    state = context.state
    declared = {
        _SERVICE_KEY + name: service_spec(name, service)
        for name, service in state.configuration.declarations.services.items()
    }
    running = {key: n for key, n in state.work_keys.items() if key.startswith(_SERVICE_KEY)}
    for key, number in sorted(running.items()):
        if declared.get(key) == state.works[number].spec:
            del declared[key]
            continue
        _works.cancel(context, state.works[number])
        del state.work_keys[key]
    for index, (key, spec) in enumerate(sorted(declared.items())):
        _works.create(context, _works.service_number(context, index), key, spec)


HANDLERS = {ConfigurationProposed: _apply_configuration_proposed}
