"""An HTTP server on waitress that bounds what its clients can make the process keep.

Waitress bounds each request, but not what all connections keep together, nor how long a request
may take to arrive. `create_server` returns a server with a budget in bytes for requests that are
not answered yet, deadlines for each part of a request, a limit on connections that makes room for
new ones, and turns for reading long bodies. ``docs/design/connections.md`` has the design.
"""

from .limits import ConnectionLimits, budget_bytes, max_connections
from .server import BoundedServer, create_server

__all__ = [
    "BoundedServer",
    "ConnectionLimits",
    "budget_bytes",
    "create_server",
    "max_connections",
]
