"""The daemon of an entry VM: starts its components, reloads settings and shuts down in order."""

import argparse
import os
import secrets
import signal
import sys
import threading
import time
from collections.abc import Callable

import msgspec

from ..clocks import steady_seconds
from ..errors import SettingsUnreadable
from ..jobs.model import Configuration
from ..logs import log_event, start_logging
from ..node.metrics import Metrics
from ..node.peer_links import HeartbeatPlan
from ..node.peers import PeerOptions, Peers
from ..platform.node_settings import PRESSURE, NodeEnvironment, read_node_environment
from ..platform.store import AppendLimits, StoreClient
from ..signals import SignalHandlers
from ..threads import ServiceThread, add_lost_thread_listener
from .admission_gate import AdmissionGate
from .advice_dispatcher import AdviceDispatcher, LocalAdviceClient
from .caller_api import CallerApi, CallerApiDependencies
from .configuration_watcher import ConfigurationWatcher
from .election import Election
from .held_lookups import HeldLookups
from .job_room_view import JobRoomView
from .lag_monitor import LagMonitor
from .leader import LeaderContext
from .leader_links import LeaderLinks
from .leader_queries import LeaderQueries
from .leader_record import LeaderRecord, NodeIdentity
from .leader_settings import cell_settings, claim_delay_seconds
from .leadership import Leadership
from .listener import apply_limits, create_listener
from .load_view import LoadView
from .messages import ENTRY_MESSAGES, Heartbeat
from .peer_directory import PeerDirectory
from .peer_requests import make_request_handler
from .probe_server import ProbeServer
from .recorder import Recorder
from .settings_watcher import SettingsWatcher

__all__ = ["EntryNode", "main"]

_HEARTBEAT_SECONDS = 0.2
"""Time between a leader's heartbeats to the peers that are first in line to replace it."""

_INFREQUENT_HEARTBEAT_FACTOR = 3
"""The other peers get every third heartbeat, and send the leader heartbeats at the same rate. This
limits the traffic of the leader of a large cluster: with 97 nodes, it sends and receives about 400
heartbeats a second instead of 960."""

_FREQUENT_PEERS = 12
"""Number of peers that get every heartbeat of a leader; enough to survive a common failure."""

_NOT_READY_SECONDS = 0.5
"""A node reports itself as not ready once its reads of the store have failed for this long."""

_STORE_CONNECTIONS = 24
"""Pooled connections to the store: one for each of the 20 threads that the listener always has for
new jobs, and a few more."""

_PEER_REQUEST_RECORDS = 4
"""Longest request of a peer, in the longest record of the store. Peers pass on one record, or a
configuration, which is one as well."""

_MIN_PEER_REQUEST_BYTES = 1_048_576
"""Lower bound of the longest request, for heartbeats with a load summary beside short records."""

_DRAIN_SECONDS = 2.5
"""How long a stopping node still accepts requests. The load balancer probes once a second, and
needs two failed probes to stop sending new connections."""

_SHUTDOWN_RESERVE_SECONDS = 1.0
"""Part of the grace period that is kept for the rest of the shutdown."""

_MIN_DRAIN_SECONDS = 1.0
"""Shortest wait for open requests, even if the grace period is shorter."""

_LOST_THREAD_EXIT_STATUS = 70
"""Exit status of a daemon whose service thread has ended: `EX_SOFTWARE` of `sysexits.h`."""

_DRAIN_POLL_SECONDS = 0.02
"""Time between checks whether all requests are answered."""


class EntryNode:
    """Creates and connects the components of an entry VM's daemon."""

    def __init__(self, environment: NodeEnvironment) -> None:
        self._environment = environment
        self._metrics = Metrics()
        self._stopping = threading.Event()
        self._lost_thread = ""
        self._peer_directory = PeerDirectory()
        self._load_view = LoadView()
        self._job_room = JobRoomView()
        self._store = StoreClient(
            environment.store.address,
            _STORE_CONNECTIONS,
            environment.node,
            _append_limits(environment),
        )
        self._advice_client = LocalAdviceClient(environment.advice_address)
        identity = NodeIdentity(environment.node, secrets.token_hex(4), environment.peer_address)
        self._identity = identity
        self._lag = LagMonitor(self._metrics)
        # Components are started only after all of them exist, so the callbacks may refer to later
        # ones.
        self._election = Election(
            self._store,
            identity,
            claim_delay_seconds(environment),
            lambda: self._configuration_watcher.is_store_stable,
            self._handle_election,
            lambda reason: self._handle_deposition(reason),
            self._handle_new_leader,
            lambda: self._queries.ask_for_referral(),
            self._lag,
        )
        self._peers = Peers(
            PeerOptions(
                environment.peer_address,
                _HEARTBEAT_SECONDS,
                plan=HeartbeatPlan(_INFREQUENT_HEARTBEAT_FACTOR, self._frequent_peers),
                confirms_links=True,
                max_request_bytes=max(
                    _MIN_PEER_REQUEST_BYTES,
                    _PEER_REQUEST_RECORDS * environment.store.record_bytes,
                ),
            ),
            ENTRY_MESSAGES,
            lambda question: self._answer_peer(question),
            self._handle_heartbeat,
            self._make_heartbeat,
            self._lag.record_heartbeat_lateness,
        )
        self._links = LeaderLinks(
            environment.node, self._election, self._peer_directory, self._peers.set_addresses
        )
        self._leadership = Leadership(
            self._election,
            lambda: self._configuration_watcher.current,
            self._make_leader_context,
            self._metrics,
        )
        self._queries = queries = LeaderQueries(
            environment.node, self._election, self._leadership, self._peers
        )
        self._configuration_watcher = ConfigurationWatcher(
            self._store, self._peers.tell, self._apply_configuration
        )
        self._recorder = recorder = Recorder(
            self._store,
            environment.store.parts,
            self._metrics,
            lambda: self._election.renewal_is_overdue,
            lambda: self._store.limits,
        )
        self._admission = AdmissionGate(
            lambda: PRESSURE in self._environment.contracts,
            self._load_view.read,
            queries.is_recorded,
            lambda: len(self._peer_directory.live_peers()) + 1,
            self._metrics,
            self._job_room.read,
            lambda: self._environment.jobs.max_gang_tasks,
        )
        self._caller_api = CallerApi(
            CallerApiDependencies(
                recorder,
                lambda: self._configuration_watcher.current,
                lambda: self._configuration_watcher.age_s,
                environment.key_trust_s,
                queries.find_status,
                queries.count_waiting,
                queries.leader_finds_store_slow,
                queries.relay_record,
                queries.notify_leader,
                self._metrics,
                self._admission,
                lambda: self._store.limits,
            )
        )
        self._answer_peer = make_request_handler(
            queries,
            HeldLookups(lambda: self._leadership.is_loading),
            self._advice_client,
            recorder.record,
            self._configuration_watcher.apply_from_peer,
        )
        self._probe_server = ProbeServer(environment.ready_address, self._is_ready, self._metrics)
        self._listener = create_listener(self._caller_api, environment, self._metrics)
        self._settings_watcher = SettingsWatcher(self._apply_environment)

    def run(self, wait: Callable[[threading.Event], object]) -> int:
        """Serve until stopped or until a service thread ends; return the exit status.

        Parameters
        ----------
        wait
            Waits until the event of the stop is set.
        """
        add_lost_thread_listener(self._handle_lost_thread)
        self._peers.start()
        self._configuration_watcher.start()
        self._election.start()
        self._probe_server.start()
        ServiceThread(self._listener.run, "front").start()
        self._leadership.start()
        self._settings_watcher.start()
        environment = self._environment
        log_event(
            "started",
            hall=environment.hall,
            front=environment.front_address,
            incarnation=self._identity.incarnation,
            store=environment.store.address,
        )
        wait(self._stopping)
        return self._shut_down()

    def stop(self) -> None:
        """Request an orderly stop."""
        self._stopping.set()

    def _handle_lost_thread(self, name: str) -> None:
        """Stop the node, since the work of the ended thread is no longer done."""
        self._lost_thread = self._lost_thread or name
        self._metrics.count("threads_lost_total", "Threads that ended unasked.", thread=name)
        self._stopping.set()

    def reload(self) -> None:
        """Reload the settings file."""
        self._settings_watcher.request_reload()

    def _is_ready(self) -> bool:
        if self._configuration_watcher.current is None or self._stopping.is_set():
            return False
        return self._configuration_watcher.failing_seconds < _NOT_READY_SECONDS

    # -- configuration ---------------------------------------------------------------------

    def _apply_configuration(self, configuration: Configuration) -> None:
        apply_limits(self._listener, configuration.limits)
        leader = self._leadership.handle
        if leader is not None:
            leader.configure(configuration)

    def _apply_environment(self, environment: NodeEnvironment) -> None:
        previous, self._environment = self._environment, environment
        if environment.store.address != previous.store.address:
            self._store.set_address(environment.store.address)
        self._store.set_limits(_append_limits(environment))
        if environment.advice_address != previous.advice_address:
            self._advice_client.set_address(environment.advice_address)
        log_event("settings_reloaded", changed=environment != previous)

    # -- leadership and peers --------------------------------------------------------------

    def _make_leader_context(self, epoch: int) -> LeaderContext:
        environment = self._environment
        live_peers = self._peer_directory.live_peers
        claimed_at = steady_seconds()

        def earlier_authority_s() -> float:
            return max(0.0, self._election.earlier_authority_until - claimed_at)

        return LeaderContext(
            store=self._store,
            parts=environment.store.parts,
            claimed_at=claimed_at,
            epoch=epoch,
            settings=cell_settings(environment, earlier_authority_s()),
            make_advice_dispatcher=lambda post: AdviceDispatcher(
                environment.node,
                self._advice_client,
                self._peers,
                live_peers,
                post,
                self._metrics,
                self._lag.record_relay_excess,
            ),
            count_advice_nodes=lambda: len(live_peers()) + 1,
            configuration=lambda: self._configuration_watcher.current,
            may_send_orders=lambda: (
                self._leadership.leads_in(epoch) and self._election.has_authority
            ),
            step_down=self._election.step_down,
            record_event_age=self._lag.record_event_age,
            metrics=self._metrics,
            peers_read_all_progress=self._peer_directory.all_read_progress,
            publish_load=self._load_view.publish,
            publish_job_room=lambda room: self._job_room.receive(epoch, room),
            earlier_authority_s=earlier_authority_s,
        )

    def _handle_new_leader(self, leader: LeaderRecord) -> None:
        self._load_view.follow(leader.epoch)
        self._links.update()

    def _handle_election(self, epoch: int) -> None:
        self._load_view.follow(epoch)
        # The peers wait for this node's heartbeats, however long its leader takes to start.
        self._links.update()
        self._leadership.begin(epoch)

    def _handle_deposition(self, reason: str) -> None:
        self._leadership.depose(reason)
        # The peers now connect to another leader; links to them would be reopened repeatedly.
        self._links.update()

    def _make_heartbeat(self, peer: str, due_s: float, heard_s: float | None) -> Heartbeat:
        heartbeat = self._election.make_heartbeat(peer, due_s, heard_s)
        return msgspec.structs.replace(
            heartbeat,
            configuration=self._configuration_watcher.version,
            store_is_slow=self._recorder.is_slow,
            reads_all_progress=True,
            load=self._load_view.data_for(peer, heartbeat.epoch),
            callers=self._admission.make_news(due_s, leads=bool(heartbeat.epoch)),
            job_room=self._job_room.data_for(heartbeat.epoch),
        )

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._election.handle_heartbeat(heartbeat)
        self._configuration_watcher.handle_heartbeat(heartbeat)
        self._load_view.receive(heartbeat.load)
        self._job_room.receive(heartbeat.epoch, heartbeat.job_room)
        self._admission.handle_heartbeat(heartbeat)
        is_new = self._peer_directory.record_heartbeat(heartbeat)
        if self._election.own_epoch and is_new:
            self._links.update()

    def _frequent_peers(self) -> set[str]:
        """Return the peers that get every heartbeat; none unless this node leads."""
        return (
            self._peer_directory.strongest_peers(_FREQUENT_PEERS)
            if self._election.own_epoch
            else set()
        )

    # -- shutdown --------------------------------------------------------------------------

    def _shut_down(self) -> int:
        started_at = steady_seconds()
        drain_s = max(_MIN_DRAIN_SECONDS, self._environment.grace_s - _SHUTDOWN_RESERVE_SECONDS)
        if self._lost_thread:
            # The thread that would finish the open requests may be the one that ended.
            drain_s = _MIN_DRAIN_SECONDS
        deadline = started_at + drain_s
        log_event("draining", leads=bool(self._election.own_epoch))
        self._settings_watcher.stop()
        self._leadership.stop()
        self._election.resign()
        while steady_seconds() < deadline:
            is_idle = (
                steady_seconds() - started_at > min(_DRAIN_SECONDS, drain_s)
                and not self._caller_api.in_flight
            )
            if is_idle:
                break
            time.sleep(_DRAIN_POLL_SECONDS)
        self._election.stop()
        log_event("stopped", seconds=steady_seconds() - started_at, lost_thread=self._lost_thread)
        return _LOST_THREAD_EXIT_STATUS if self._lost_thread else 0


def _append_limits(environment: NodeEnvironment) -> AppendLimits:
    return AppendLimits(environment.store.record_bytes, environment.store.call_bytes)


def main() -> None:
    """Run the daemon."""
    parser = argparse.ArgumentParser(prog="snowdock-entry", description=__doc__)
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    options = parser.parse_args()
    try:
        environment = read_node_environment()
    except SettingsUnreadable as error:
        print(f"snowdock-entry: {error}", file=sys.stderr)
        sys.exit(2)
    if options.check:
        print("the settings are good")
        return
    log_sink = start_logging(environment.node, sys.stdout)
    node = EntryNode(environment)
    handlers = SignalHandlers(
        {signal.SIGTERM: node.stop, signal.SIGINT: node.stop, signal.SIGHUP: node.reload}
    )
    status = node.run(handlers.wait_until_set)
    log_sink.close()
    # Threads blocked in calls to external systems may not end.
    os._exit(status)


if __name__ == "__main__":
    main()
