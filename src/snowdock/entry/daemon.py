"""The daemon of an entry VM: starts its components, reloads settings and shuts down in order."""

import argparse
import os
import secrets
import signal
import sys
import threading
import time

import msgspec

from ..clocks import steady_seconds
from ..errors import SettingsUnreadable
from ..jobs.model import Configuration
from ..logs import log_event, start_logging
from ..node.metrics import Metrics
from ..node.peer_links import BeatPlan
from ..node.peers import PeerOptions, Peers
from ..platform.node_settings import NodeEnvironment, read_node_environment
from ..platform.store import StoreClient
from ..threads import ServiceThread, on_lost_thread
from .advisers import Advisers, LocalAdviser
from .configurations import Configurations
from .election import Election
from .front import bound_front, make_front
from .intake import Intake, IntakeParts
from .leader import LeaderContext
from .leader_queries import LeaderQueries
from .leader_record import Identity, LeaderRecord
from .leader_terms import cell_settings, claim_delay
from .leadership import Leadership
from .messages import ENTRY_MESSAGES, Beat
from .peer_answers import make_peer_answers
from .peer_book import PeerBook
from .probes import Probes
from .recorder import Recorder
from .settings_watch import SettingsWatch

__all__ = ["EntryNode", "main"]

_BEAT_SECONDS = 0.2
"""Time between a leader's heartbeats to the peers that are first in line to replace it."""

_SELDOM_BEATS = 3
"""The other peers get every third heartbeat, and send the leader heartbeats at the same rate. This
limits the traffic of the leader of a large cluster."""

_WATCHERS = 12
"""Number of peers that get every heartbeat of a leader; enough to survive a common failure."""

_NOT_READY_SECONDS = 0.5
"""A node reports itself as not ready once its reads of the store have failed for this long."""

_STORE_CONNECTIONS = 24
"""Pooled connections to the store: one for each of the listener's 20 threads, and a few more."""

_STOP_SERVING_SECONDS = 2.5
"""How long a stopping node still accepts requests. The load balancer probes once a second, and
needs two failed probes to stop sending new connections."""

_STOP_LEFT_SECONDS = 1.0
"""Part of the grace period that is kept for the rest of the shutdown."""

_STOP_LEAST_SECONDS = 1.0
"""Shortest wait for open requests, even if the grace period is shorter."""

_LOST_THREAD_STATUS = 70
"""Exit status of a daemon whose service thread has ended: `EX_SOFTWARE` of `sysexits.h`."""

_STOP_POLL_SECONDS = 0.02
"""Time between checks whether all requests are answered."""


class EntryNode:
    """Creates and connects the components of an entry VM's daemon."""

    def __init__(self, environment: NodeEnvironment) -> None:
        self._environment = environment
        self._metrics = Metrics()
        self._stopping = threading.Event()
        self._lost_thread = ""
        self._peer_book = PeerBook()
        self._store = StoreClient(environment.store.address, _STORE_CONNECTIONS, environment.node)
        self._adviser = LocalAdviser(environment.advice_address)
        identity = Identity(environment.node, secrets.token_hex(4), environment.peer_address)
        self._identity = identity
        # Components are started only after all of them exist, so the callbacks may refer to later
        # ones.
        self._election = Election(
            self._store,
            identity,
            claim_delay(environment),
            lambda: self._configurations.is_steady,
            lambda epoch: self._leadership.begin(epoch),
            lambda reason: self._take_deposed(reason),
            self._follow,
        )
        self._peers = Peers(
            PeerOptions(
                environment.peer_address,
                _BEAT_SECONDS,
                plan=BeatPlan(_SELDOM_BEATS, self._watchers),
                confirms_links=True,
            ),
            ENTRY_MESSAGES,
            lambda question: self._answer_peer(question),
            self._hear,
            self._make_beat,
        )
        self._leadership = Leadership(
            self._election,
            lambda: self._configurations.current,
            self._leader_context,
            self._connect_peers,
            self._metrics,
        )
        queries = LeaderQueries(environment.node, self._election, self._leadership, self._peers)
        self._configurations = Configurations(
            self._store, self._peers.tell, self._take_configuration
        )
        self._recorder = recorder = Recorder(self._store, environment.store.parts, self._metrics)
        self._intake = Intake(
            IntakeParts(
                recorder,
                lambda: self._configurations.current,
                lambda: self._configurations.age_s,
                environment.key_trust_s,
                queries.find_status,
                queries.count_waiting,
                queries.finds_store_slow,
                queries.relay_record,
                queries.note_record,
                self._metrics,
            )
        )
        self._answer_peer = make_peer_answers(
            queries, self._adviser, recorder.record, self._configurations.take_told
        )
        self._probes = Probes(environment.ready_address, self._is_ready, self._metrics)
        self._front = make_front(self._intake, environment, self._metrics)
        self._settings = SettingsWatch(self._take_environment)

    def run(self) -> int:
        """Serve until stopped or until a service thread ends; return the exit status."""
        on_lost_thread(self._take_lost_thread)
        self._peers.start()
        self._configurations.start()
        self._election.start()
        self._probes.start()
        ServiceThread(self._front.run, "front").start()
        self._leadership.start()
        self._settings.start()
        environment = self._environment
        log_event(
            "started",
            hall=environment.hall,
            front=environment.front_address,
            incarnation=self._identity.incarnation,
            store=environment.store.address,
        )
        self._stopping.wait()
        return self._stop()

    def stop(self) -> None:
        """Request an orderly stop."""
        self._stopping.set()

    def _take_lost_thread(self, name: str) -> None:
        """Stop the node, since the work of the ended thread is no longer done."""
        self._lost_thread = self._lost_thread or name
        self._metrics.count("threads_lost_total", "Threads that ended unasked.", thread=name)
        self._stopping.set()

    def reload(self) -> None:
        """Reload the settings file."""
        self._settings.read_again()

    def _is_ready(self) -> bool:
        if self._configurations.current is None or self._stopping.is_set():
            return False
        return self._configurations.failing_seconds < _NOT_READY_SECONDS

    # -- configuration ---------------------------------------------------------------------

    def _take_configuration(self, found: Configuration) -> None:
        bound_front(self._front, found.limits)
        leader = self._leadership.handle
        if leader is not None:
            leader.configure(found)

    def _take_environment(self, found: NodeEnvironment) -> None:
        before, self._environment = self._environment, found
        if found.store.address != before.store.address:
            self._store.move(found.store.address)
        if found.advice_address != before.advice_address:
            self._adviser.move(found.advice_address)
        log_event("settings_reloaded", changed=found != before)

    # -- leadership and peers --------------------------------------------------------------

    def _leader_context(self, epoch: int) -> LeaderContext:
        environment = self._environment
        live = self._peer_book.live
        return LeaderContext(
            store=self._store,
            parts=environment.store.parts,
            claimed_at=steady_seconds(),
            epoch=epoch,
            settings=cell_settings(environment),
            make_advisers=lambda post: Advisers(
                environment.node, self._adviser, self._peers, live, post, self._metrics
            ),
            count_askers=lambda: len(live()) + 1,
            configuration=lambda: self._configurations.current,
            may_order=lambda: self._leadership.leads_in(epoch) and not self._election.is_isolated,
            step_down=self._election.abandon,
            metrics=self._metrics,
        )

    def _take_deposed(self, reason: str) -> None:
        self._leadership.depose(reason)
        # The peers now connect to another leader; links to them would be reopened repeatedly.
        self._peers.set_addresses({})

    def _follow(self, leader: LeaderRecord) -> None:
        if leader.node != self._identity.node:
            self._peers.set_addresses({leader.node: leader.address})

    def _make_beat(self, due_s: float, heard_s: float | None) -> Beat:
        beat = self._election.make_beat(due_s, heard_s)
        return msgspec.structs.replace(
            beat,
            configuration=self._configurations.version,
            store_is_slow=self._recorder.is_slow,
        )

    def _hear(self, beat: Beat) -> None:
        self._election.hear(beat)
        self._configurations.hear(beat)
        is_new = self._peer_book.note(beat)
        if self._election.own_epoch and is_new:
            self._connect_peers()

    def _watchers(self) -> set[str]:
        """Return the peers that get every heartbeat; none unless this node leads."""
        return self._peer_book.strongest(_WATCHERS) if self._election.own_epoch else set()

    def _connect_peers(self) -> None:
        """Connect to all known peers; only a leader sends them requests."""
        self._peers.set_addresses(self._peer_book.addresses())

    # -- shutdown --------------------------------------------------------------------------

    def _stop(self) -> int:
        began = steady_seconds()
        wait_s = max(_STOP_LEAST_SECONDS, self._environment.grace_s - _STOP_LEFT_SECONDS)
        if self._lost_thread:
            # The thread that would finish the open requests may be the one that ended.
            wait_s = _STOP_LEAST_SECONDS
        end = began + wait_s
        log_event("draining", leads=bool(self._election.own_epoch))
        self._settings.stop()
        self._leadership.stop()
        self._election.resign()
        while steady_seconds() < end:
            quiet = (
                steady_seconds() - began > min(_STOP_SERVING_SECONDS, wait_s)
                and not self._intake.in_flight
            )
            if quiet:
                break
            time.sleep(_STOP_POLL_SECONDS)
        self._election.stop()
        log_event("stopped", seconds=steady_seconds() - began, lost_thread=self._lost_thread)
        return _LOST_THREAD_STATUS if self._lost_thread else 0


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
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: node.stop())
    signal.signal(signal.SIGHUP, lambda *_: node.reload())
    status = node.run()
    log_sink.close()
    # Threads blocked in calls to external systems may not end.
    os._exit(status)


if __name__ == "__main__":
    main()
