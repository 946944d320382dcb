"""``snowdockd``: starts the components of a node and stops them in order."""

import argparse
import contextlib
import os
import resource
import secrets
import signal
import sys
import threading
import time
from collections.abc import Callable

import pykka

from ..clocks import steady_seconds
from ..errors import InvalidInput, PlatformError, SettingsErrors, TokensUnreadable
from ..http_server import ConnectionLimits, budget_bytes, create_server, max_connections
from ..logs import log_error, log_event, start_logging
from ..platform._http import HttpClient
from ..platform.logs import LogClient
from ..platform.minion_client import MinionClient
from ..platform.vms import VmListClient
from ..platform.worker_client import WorkerClient
from ..records import NodeDraining, NodeLeft
from ..settings import Settings, read_settings
from ..signals import SignalHandlers
from ..state import Member, decode_state, encode_state
from .api import Api
from .context import NodeContext
from .log_actors import LogReader, LogWriter
from .messages import HeartbeatReceived, PeerSlotsReported, Propose, Query, StateLoaded, Tick
from .metrics import Metrics
from .peer_messages import NODE_MESSAGES, Heartbeat, StateRequest, StateResponse
from .peers import PeerOptions, Peers
from .requests import RequestHandler
from .router import Router
from .state_actor import StateActor
from .tokens import TokenStore
from .vm_watcher import VmWatcher
from .worker_driver import WorkerDriver

__all__ = ["Node", "main"]

_CLIENTS_DESCRIPTOR_SHARE = 0.5
"""Share of the process's descriptors that clients' connections may use. The rest is for the log,
workers, minions and peers."""

_FORWARDED_HEAD_BYTES = 262_144
"""What a forwarded call has beside its body: its path, query and headers, which are limited by the
largest head of a request, and their encoding."""

_TICK_INTERVAL_SECONDS = 0.25
_CONNECTIONS_PER_MINION = 64
_SEED_TIMEOUT_SECONDS = 2.0
_STOP_POLL_SECONDS = 0.02
_LEAVE_TIMEOUT_SECONDS = 3.0


class Node:
    """One node: its actors, HTTP server and peer connections.

    Parameters
    ----------
    settings
        The node's settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._failed = False
        self._stopping = threading.Event()
        self._stopped = threading.Event()
        node = settings.node
        timing = settings.timing
        self._context = NodeContext(settings, incarnation=secrets.token_hex(4))
        metrics = Metrics()
        client = HttpClient(node.name, settings.platform.timeout_ms / 1000)
        log = LogClient(client, settings.platform.log)
        workers = WorkerClient(client)
        self._requests = RequestHandler(
            self._context, MinionClient(node.name, _CONNECTIONS_PER_MINION), metrics
        )
        tokens = TokenStore(settings.security.tokens_file)
        self._api = Api(self._context, self._requests, metrics, tokens)
        self._api.request_drain = self._stopping.set
        host, _, port = node.api.rpartition(":")
        self._server = create_server(
            self._api,
            [f"{host}:{int(port)}"],
            _connection_limits(settings),
            metrics,
            "api",
            node.threads,
        )
        self._context.api_address = f"{host}:{self._server.effective_port}"
        self._context.on_fatal_error = self._fail
        self._peers = Peers(
            PeerOptions(
                listen=node.peer,
                heartbeat_interval_s=timing.heartbeat_ms / 1000,
                public_key=settings.security.peer_public_key,
                secret_key=settings.security.peer_secret_key,
                max_request_bytes=node.max_body_bytes + _FORWARDED_HEAD_BYTES,
            ),
            NODE_MESSAGES,
            self._answer_peer,
            self._handle_heartbeat,
            self._build_heartbeat,
        )
        self._requests.set_peers(self._peers)
        self._context.on_members_changed = self._update_peers
        context = self._context
        context.writer = LogWriter.start(
            log,
            node.name,
            context.incarnation,
            timing.append_interval_ms / 1000,
            lambda: context.applied_offset,
            self._record_append_result,
        )
        context.router = Router.start(context)
        context.driver = WorkerDriver.start(context, workers)
        context.state = StateActor.start(context, metrics)
        context.watcher = VmWatcher.start(
            context, VmListClient(client, settings.platform.vms), workers
        )
        context.reader = LogReader.start(log, timing.poll_ms / 1000, context.state)

    def run(self, wait: Callable[[threading.Event], object]) -> int:
        """Run the node until it is stopped, and return the exit status.

        Parameters
        ----------
        wait
            Waits until the event of the stop is set.
        """
        self._peers.start()
        self._load_state_from_seed()
        self._context.reader.tell(Tick())
        threading.Thread(target=self._tick, name="ticks", daemon=True).start()
        threading.Thread(target=self._watch_vms, name="vm-ticks", daemon=True).start()
        threading.Thread(target=self._server.run, name="api", daemon=True).start()
        log_event("started", api=self._context.api_address, incarnation=self._context.incarnation)
        wait(self._stopping)
        return self._stop()

    def stop(self) -> None:
        """Request a planned stop."""
        self._stopping.set()

    def _record_append_result(self, succeeded: bool) -> None:
        self._context.appends_to_log = succeeded

    def _fail(self) -> None:
        """Stop at once without releasing slots or leaving the cluster, as if killed."""
        self._failed = True
        self._stopping.set()

    # -- ticks -----------------------------------------------------------------------------

    def _tick(self) -> None:
        while not self._stopped.wait(_TICK_INTERVAL_SECONDS):
            for actor in (self._context.state, self._context.driver, self._context.router):
                with contextlib.suppress(pykka.ActorDeadError):
                    actor.tell(Tick())

    def _watch_vms(self) -> None:
        interval = self._settings.timing.vms_interval_ms / 1000
        while not self._stopped.wait(interval):
            # Blocks until the list is read, so that reads of a slow list do not pile up.
            try:
                self._context.watcher.ask(Tick())
            except pykka.ActorDeadError:
                return

    # -- peers -----------------------------------------------------------------------------

    def _update_peers(self, members: dict[str, Member]) -> None:
        own = self._settings.node.name
        self._peers.set_addresses(
            {name: member.peer_address for name, member in members.items() if name != own}
        )

    def _build_heartbeat(
        self, _peer: str, _due_s: float, _last_received_s: float | None
    ) -> Heartbeat:
        context = self._context
        digest_offset, digest = context.latest_digest
        return Heartbeat(
            self._settings.node.name,
            context.incarnation,
            context.applied_offset,
            digest_offset,
            digest,
            context.reaches_log,
            context.idle_slots,
        )

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._context.state.tell(
            HeartbeatReceived(
                heartbeat.node,
                heartbeat.incarnation,
                heartbeat.offset,
                heartbeat.digest_offset,
                heartbeat.digest,
                heartbeat.reaches_log,
            )
        )
        self._context.router.tell(PeerSlotsReported(heartbeat.node, heartbeat.idle_slots))

    def _answer_peer(self, request):
        if isinstance(request, StateRequest):
            data = self._context.state.ask(Query(lambda view: encode_state(view.state)))
            return StateResponse(request.number, data)
        return self._requests.answer_peer(request)

    def _load_state_from_seed(self) -> None:
        """Load the state from the first seed that answers; the log is read from its offset."""
        for address in self._settings.node.seed_addresses:
            if address == self._settings.node.peer:
                continue
            try:
                response = self._peers.ask_address(address, StateRequest, _SEED_TIMEOUT_SECONDS)
                state = decode_state(response.data)
            except (PlatformError, InvalidInput) as error:
                log_event("seed_silent", address=address, reason=str(error))
                continue
            log_event("state_from_peer", address=address, offset=state.offset)
            loaded = StateLoaded(state)
            self._context.state.ask(loaded)
            self._context.reader.ask(loaded)
            return

    # -- shutdown --------------------------------------------------------------------------

    def _stop(self) -> int:
        if self._failed:
            log_error("stopped", "an actor of the node failed")
            return 1
        log_event("draining")
        name = self._settings.node.name
        self._api.drain()
        self._context.writer.tell(Propose((NodeDraining(name),)))
        self._wait_for_requests()
        self._requests.drain()
        self._wait_for_requests()
        self._leave(name)
        self._stopped.set()
        self._server.close()
        self._peers.stop()
        pykka.ActorRegistry.stop_all(block=False)
        log_event("stopped")
        return 0

    def _wait_for_requests(self) -> None:
        deadline = steady_seconds() + self._settings.timing.drain_ms / 1000
        # Requests forwarded by a peer do not count as in flight at the API.
        while (self._api.in_flight or self._requests.in_flight) and steady_seconds() < deadline:
            time.sleep(_STOP_POLL_SECONDS)

    def _leave(self, name: str) -> None:
        done = threading.Event()
        self._context.writer.tell(Propose((NodeLeft(name),), lambda result: done.set()))
        if not done.wait(_LEAVE_TIMEOUT_SECONDS):
            log_event("left_silently", reason="no answer from the log")


def _connection_limits(settings: Settings) -> ConnectionLimits:
    clients = settings.clients
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return ConnectionLimits(
        connections=min(
            clients.max_connections,
            max_connections(clients.memory_mb),
            int(descriptors * _CLIENTS_DESCRIPTOR_SHARE),
        ),
        budget_bytes=budget_bytes(clients.memory_mb),
        header_bytes=clients.max_header_bytes,
        body_bytes=settings.node.max_body_bytes,
        header_timeout_s=clients.header_timeout_ms / 1000,
        body_timeout_s=clients.body_timeout_ms / 1000,
        idle_timeout_s=clients.idle_timeout_ms / 1000,
    )


def main() -> None:
    """Run the daemon."""
    parser = argparse.ArgumentParser(prog="snowdockd", description=__doc__)
    parser.add_argument("--settings", required=True, help="the node's INI file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    options = parser.parse_args()
    try:
        settings = read_settings(options.settings)
    except SettingsErrors as errors:
        for error in errors.exceptions:
            print(f"snowdockd: {error}", file=sys.stderr)
        sys.exit(2)
    if options.check:
        print("the settings are valid")
        return
    log_sink = start_logging(settings.node.name)
    try:
        node = Node(settings)
    except TokensUnreadable as error:
        print(f"snowdockd: {error}", file=sys.stderr)
        sys.exit(2)
    handlers = SignalHandlers({signal.SIGTERM: node.stop, signal.SIGINT: node.stop})
    status = node.run(handlers.wait_until_set)
    log_sink.close()
    # Threads blocked on calls to other systems would delay a normal exit.
    os._exit(status)


if __name__ == "__main__":
    main()
