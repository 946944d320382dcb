"""The HTTP API of a node, served by waitress."""

import re
import time
from collections.abc import Callable, Iterable

import msgspec
import pykka

from ..clocks import steady_seconds
from ..decisions.placements import describe_work, fits_nowhere
from ..declarations import WorkSpec, parse_declarations, parse_work
from ..effects import Accepted, Verdict
from ..errors import (
    BodyTooLarge,
    ConfigurationConflict,
    DeclarationErrors,
    Draining,
    InvalidInput,
    MethodNotAllowed,
    NotFound,
    Overloaded,
    SnowdockError,
    Starting,
    UnsupportedMedia,
    VerdictUnknown,
    Voided,
    WorkImpossible,
)
from ..logs import log_error, log_event
from ..policies import PolicySet
from ..records import ConfigurationProposed, Record, WorkCancelled, WorkSubmitted
from ..reducer import submission_offset
from . import reports
from .calls import build_response, parse_call
from .context import NodeContext
from .http_models import (
    HttpRequest,
    HttpResponse,
    json_response,
    not_run_response,
    problem_response,
)
from .in_flight import InFlightCounter
from .messages import Propose, Query
from .metrics import Metrics
from .requests import RequestHandler
from .tokens import Role, TokenStore

__all__ = ["Api"]

_JSON = "application/json"
_TEXT = "text/plain"
_KEY_PATTERN = re.compile(r"^[A-Za-z0-9._:-]{1,100}$")
_STATE_TIMEOUT_SECONDS = 10.0
_CATCH_UP_TIMEOUT_SECONDS = 2.0
_CATCH_UP_POLL_SECONDS = 0.01
_MAX_CATCH_UP_ENTRIES = 10_000
"""A submission further ahead than this is treated as unknown instead of waited for."""

_UNAUTHENTICATED_PATHS = ("/healthz", "/readyz", "/metrics")
_OPERATOR_PATHS = ("/v1/configuration", "/v1/drain")


class ConfigurationChange(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a configuration change: files by name, based on version ``base``."""

    base: int
    files: dict[str, str]
    author: str = ""


class SubmittedWork(msgspec.Struct):
    """The number and name of an accepted work."""

    work: int
    name: str


class ChangeResult(msgspec.Struct):
    """The configuration version that a change created; 0 for a dry run."""

    version: int


class Api:
    """The WSGI application of a node's HTTP API.

    Parameters
    ----------
    context
        The node's settings and actors.
    requests
        The handler of callers' requests.
    metrics
        The node's metrics.
    token_store
        The bearer tokens that authorize requests.
    """

    def __init__(
        self,
        context: NodeContext,
        requests: RequestHandler,
        metrics: Metrics,
        token_store: TokenStore,
    ) -> None:
        self._context = context
        self._token_store = token_store
        self._requests = requests
        self._metrics = metrics
        self._draining = False
        self._in_flight = InFlightCounter()
        self._routes: list[tuple[str, re.Pattern, Callable[..., HttpResponse]]] = [
            ("GET", re.compile(r"/healthz"), self._health),
            ("GET", re.compile(r"/readyz"), self._ready),
            ("GET", re.compile(r"/metrics"), self._render_metrics),
            ("GET", re.compile(r"/v1/version"), self._version),
            ("GET", re.compile(r"/v1/status"), self._status),
            ("GET", re.compile(r"/v1/nodes"), self._nodes),
            ("GET", re.compile(r"/v1/workers"), self._workers),
            ("GET", re.compile(r"/v1/minions"), self._minions),
            ("GET", re.compile(r"/v1/configuration"), self._configuration),
            ("POST", re.compile(r"/v1/configuration"), self._change_configuration),
            ("POST", re.compile(r"/v1/drain"), self._drain),
            ("GET", re.compile(r"/v1/work"), self._works),
            ("POST", re.compile(r"/v1/work"), self._submit),
            ("GET", re.compile(r"/v1/work/(\d{1,18})"), self._work),
            ("POST", re.compile(r"/v1/work/(\d{1,18})/cancel"), self._cancel),
        ]
        self.request_drain: Callable[[], None] = lambda: None

    @property
    def in_flight(self) -> int:
        """The number of requests being handled."""
        return self._in_flight.count

    def drain(self) -> None:
        """Reject new work and report the node as not ready to the load balancer."""
        self._draining = True

    # -- WSGI ------------------------------------------------------------------------------

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Handle one WSGI request."""
        with self._in_flight.track():
            answer = self._respond(environ)
        headers = {
            "Content-Type": answer.content_type,
            "Content-Length": str(len(answer.body)),
            **answer.headers,
        }
        start_response(f"{answer.status} {_reason_phrase(answer.status)}", list(headers.items()))
        return [answer.body]

    def _respond(self, environ: dict) -> HttpResponse:
        try:
            return self._dispatch(self._read_request(environ))
        except (SnowdockError, DeclarationErrors) as error:
            return problem_response(error)
        except (pykka.Timeout, pykka.ActorDeadError) as error:
            log_error("api_overloaded", error)
            return problem_response(Overloaded("the node is too busy; nothing was done"))
        except Exception as error:
            log_error("api_failed", error, path=environ.get("PATH_INFO", ""))
            return problem_response(SnowdockError("an unexpected failure; see the node's log"))

    def _read_request(self, environ: dict) -> HttpRequest:
        limit = self._context.settings.node.max_body_bytes
        body = environ["wsgi.input"].read(limit + 1)
        if len(body) > limit:
            raise BodyTooLarge(f"the body is larger than {limit} bytes")
        headers = {
            key[5:].replace("_", "-").lower(): value
            for key, value in environ.items()
            if key.startswith("HTTP_")
        }
        if environ.get("CONTENT_TYPE"):
            headers["content-type"] = environ["CONTENT_TYPE"]
        # WSGI decodes paths as Latin-1; bytes that are not valid UTF-8 are replaced.
        path = environ.get("PATH_INFO", "").encode("latin-1").decode("utf-8", "replace")
        return HttpRequest(
            environ["REQUEST_METHOD"], path, environ.get("QUERY_STRING", ""), headers, body
        )

    def _dispatch(self, request: HttpRequest) -> HttpResponse:
        if request.path not in _UNAUTHENTICATED_PATHS:
            required_role = Role.OPERATOR if _needs_operator(request) else Role.CALLER
            self._token_store.authorize(request.headers.get("authorization", ""), required_role)
        if request.path.startswith("/call/"):
            return self._call(request)
        allowed = set()
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(request.path)
            if match is None:
                continue
            if method == request.method:
                return handler(request, *match.groups())
            allowed.add(method)
        if allowed:
            raise MethodNotAllowed(f"allowed methods: {', '.join(sorted(allowed))}")
        raise NotFound(f"no such path: {request.path[:100]}")

    # -- queries ---------------------------------------------------------------------------

    def _query_state(self, function: Callable) -> object:
        return self._context.state.ask(Query(function), timeout=_STATE_TIMEOUT_SECONDS)

    def _health(self, request: HttpRequest) -> HttpResponse:
        self._query_state(lambda view: None)
        return json_response({"healthy": True})

    def _ready(self, request: HttpRequest) -> HttpResponse:
        ready = self._query_state(lambda view: view.ready) and not self._draining
        return json_response({"ready": ready}, 200 if ready else 503)

    def _render_metrics(self, request: HttpRequest) -> HttpResponse:
        content, content_type = self._metrics.render()
        return HttpResponse(200, content, content_type)

    def _version(self, request: HttpRequest) -> HttpResponse:
        node = self._context.settings.node.name
        return json_response(self._query_state(lambda view: reports.version_report(view, node)))

    def _status(self, request: HttpRequest) -> HttpResponse:
        return json_response(self._query_state(reports.cluster_status))

    def _nodes(self, request: HttpRequest) -> HttpResponse:
        return json_response(self._query_state(reports.node_reports))

    def _workers(self, request: HttpRequest) -> HttpResponse:
        return json_response(self._query_state(reports.worker_reports))

    def _minions(self, request: HttpRequest) -> HttpResponse:
        return json_response(self._query_state(reports.minion_reports))

    def _configuration(self, request: HttpRequest) -> HttpResponse:
        return json_response(self._query_state(reports.configuration))

    def _works(self, request: HttpRequest) -> HttpResponse:
        return json_response(self._query_state(reports.work_reports))

    def _work(self, request: HttpRequest, number: str) -> HttpResponse:
        def show(view) -> reports.WorkReport | None:
            work = view.state.works.get(int(number))
            return None if work is None else reports.work_report(view, work, True)

        self._wait_for_offset(submission_offset(int(number)))
        report = self._query_state(show)
        if report is None:
            raise NotFound(f"no work {number}")
        return json_response(report)

    def _wait_for_offset(self, offset: int) -> None:
        """Wait until this node has applied a log offset.

        Without the wait, work just accepted by one node could be reported as unknown by another.

        Raises
        ------
        Starting
            If the node does not reach the offset in time.
        """
        deadline = steady_seconds() + _CATCH_UP_TIMEOUT_SECONDS
        while (
            self._context.applied_offset
            < offset
            <= self._context.applied_offset + _MAX_CATCH_UP_ENTRIES
        ):
            if steady_seconds() > deadline:
                raise Starting("this node has not yet read the log far enough")
            time.sleep(_CATCH_UP_POLL_SECONDS)

    # -- changes ---------------------------------------------------------------------------

    def _propose(self, *records: Record) -> tuple[Verdict, ...]:
        future = pykka.ThreadingFuture()
        self._context.writer.tell(Propose(records, future.set))
        seconds = self._context.settings.timing.verdict_ms / 1000
        try:
            result = future.get(timeout=seconds)
        except pykka.Timeout:
            raise VerdictUnknown(
                "the record may be on the log; retry with the same key to find out"
            ) from None
        if isinstance(result, SnowdockError):
            raise result
        return result

    def _change_configuration(self, request: HttpRequest) -> HttpResponse:
        _require_content_type(request, _JSON)
        try:
            change = msgspec.json.decode(request.body, type=ConfigurationChange)
        except msgspec.MsgspecError as error:
            raise InvalidInput(f"invalid configuration change: {error}") from error
        declarations = parse_declarations(change.files)
        PolicySet.check(declarations)
        if request.query_parameter("dry_run") == "true":
            return json_response(ChangeResult(0))
        (verdict,) = self._propose(
            ConfigurationProposed(change.base, declarations, change.author[:100])
        )
        if isinstance(verdict, Accepted):
            log_event("configuration_accepted", version=verdict.reference, author=change.author)
            return json_response(ChangeResult(verdict.reference))
        raise ConfigurationConflict(verdict.reason)

    def _submit(self, request: HttpRequest) -> HttpResponse:
        _require_content_type(request, _TEXT)
        if self._draining:
            raise Draining("the node is draining; nothing was accepted")
        key = request.headers.get("snowdock-key", "")
        if not _KEY_PATTERN.match(key):
            raise InvalidInput("header Snowdock-Key must be 1 to 100 of A-Z a-z 0-9 . _ : -")
        try:
            text = request.body.decode("utf-8")
        except UnicodeDecodeError as error:
            raise InvalidInput("the body is not UTF-8") from error
        specs = parse_work("work", text)
        for spec in specs:
            self._check_feasible(spec)
        records = tuple(WorkSubmitted(f"{key}/{spec.name}", spec) for spec in specs)
        verdicts = self._propose(*records)
        for verdict in verdicts:
            if not isinstance(verdict, Accepted):
                raise Voided(f"not accepted: {verdict.reason}")
        accepted = [
            SubmittedWork(verdict.reference, spec.name)
            for verdict, spec in zip(verdicts, specs, strict=True)
        ]
        return json_response(accepted, 201)

    def _check_feasible(self, spec: WorkSpec) -> None:
        """Check that a quota and a worker can hold a task and that the policy admits the work.

        Raises
        ------
        WorkImpossible
            If the work could never be placed.
        """

        def check(view) -> str:
            team = view.state.configuration.declarations.teams.get(spec.team)
            if team is None:
                return f"unknown team {spec.team}"
            if not team.quota.holds(spec.size):
                return f"one task is larger than the quota of team {spec.team}"
            index = view.scheduler.index
            if len(index) and fits_nowhere(index, spec.size):
                return "no worker could ever hold one task"
            admitted = view.policies.call(spec.kind, "admit", describe_work(spec, 0))
            return "" if admitted is True else f"the policy does not admit it: {admitted}"

        problem = self._query_state(check)
        if problem:
            raise WorkImpossible(f"[{spec.kind} {spec.name}]: {problem}")

    def _cancel(self, request: HttpRequest, number: str) -> HttpResponse:
        (verdict,) = self._propose(WorkCancelled(int(number)))
        if isinstance(verdict, Accepted):
            return json_response({"cancelled": int(number)})
        raise NotFound(verdict.reason) if "unknown" in verdict.reason else Voided(verdict.reason)

    def _drain(self, request: HttpRequest) -> HttpResponse:
        self.request_drain()
        return json_response({"draining": True}, 202)

    # -- forwarded requests ----------------------------------------------------------------

    def _call(self, request: HttpRequest) -> HttpResponse:
        try:
            call = parse_call(request)
        except SnowdockError as error:
            return not_run_response(error)
        outcome = self._requests.handle(call)
        return build_response(call, outcome)


def _needs_operator(request: HttpRequest) -> bool:
    return request.method != "GET" and request.path in _OPERATOR_PATHS


def _require_content_type(request: HttpRequest, expected: str) -> None:
    actual = request.headers.get("content-type", "").partition(";")[0].strip().lower()
    if actual != expected:
        raise UnsupportedMedia(f"content type must be {expected}, not {actual[:60]!r}")


def _reason_phrase(status: int) -> str:
    return "OK" if status < 400 else "Failed"
