"""The configuration: one version after another, and the services that it declares."""

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
    require(record.base == current, f"made from version {record.base}, current is {current}")
    # The offset is the version; offset 0 would read as "none yet", but the first batch on
    # any log is a joining node's.
    require(context.offset > current, "the version would not grow")
    state.configuration = Configuration(context.offset, record.author, record.declarations)
    limits = record.declarations.limits
    # No lease was given before the first configuration: without a team there is no work.
    state.longest_lease_ms = max(state.longest_lease_ms, limits.lease_ms)
    _reconcile_services(context)
    context.effects.append(ConfigurationInForce(context.offset))
    return Accepted(context.offset)


def _reconcile_services(context: Context) -> None:
    """Make the running services those that are declared.

    A changed declaration is a new piece of work beside the end of the old one.
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
