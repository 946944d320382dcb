"""The commands of ``snowdock``."""

import pathlib
import secrets
import sys
import time
import uuid

import msgspec
import zmq
from cleo.commands.command import Command
from cleo.helpers import argument, option

from ..declarations import Declarations, parse_declarations, parse_work
from ..errors import DeclarationErrors, InvalidInput, SnowdockError
from ..node import report_models as models
from ..request_ids import new_request_id
from .client import ApiClient, ApiError
from .tables import print_table

__all__ = ["COMMANDS"]

EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_NO_NODE = 4
EXIT_UNKNOWN = 5
EXIT_WORK_FAILED = 6

_JSON_CONTENT_TYPE = "application/json"
_POLL_INTERVAL_SECONDS = 0.2
_NODES_OPTION = option(
    "nodes", None, "Nodes to talk to, ADDRESS:PORT separated by commas.", flag=False
)
_JSON_OPTION = option("json", None, "Print JSON for scripts.")


class _AppliedChange(msgspec.Struct):
    version: int


class _SubmittedWork(msgspec.Struct):
    work: int
    name: str


class _SnowdockCommand(Command):
    """Base of all commands: typed failures become messages and exit statuses."""

    def handle(self) -> int:
        """Run, and turn a failure into a sentence and a status."""
        try:
            return self.run_command() or 0
        except DeclarationErrors as errors:
            for error in errors.exceptions:
                self.line_error(f"<error>{error}</error>")
            return EXIT_USAGE
        except ApiError as error:
            self.line_error(f"<error>{error.code}: {error}</error>")
            for detail in error.details:
                self.line_error(f"  {detail}")
            return EXIT_USAGE if error.status in (400, 422) else EXIT_REFUSED
        except InvalidInput as error:
            self.line_error(f"<error>{error.code}: {error}</error>")
            return EXIT_USAGE
        except SnowdockError as error:
            self.line_error(f"<error>{error.code}: {error}</error>")
            return EXIT_NO_NODE

    def run_command(self) -> int | None:
        """Do the command's work; None means success."""
        raise NotImplementedError

    @property
    def api(self) -> ApiClient:
        """The nodes that were named."""
        return ApiClient.from_environment(self.option("nodes"))

    def print_rows(self, rows: list) -> None:
        """Print models as a table, or as JSON."""
        if self.option("json"):
            self.line(msgspec.json.format(msgspec.json.encode(rows)).decode())
        else:
            print_table(self, rows)


def _read_folder(folder: str) -> dict[str, str]:
    path = pathlib.Path(folder)
    if not path.is_dir():
        raise InvalidInput(f"no folder {folder}")
    files = sorted(p for p in path.iterdir() if p.suffix in (".ini", ".star"))
    if not files:
        raise InvalidInput(f"no .ini or .star files in {folder}")
    return {file.name: _read_text(file) for file in files}


def _read_text(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidInput(f"cannot read {path}: {error}") from error


class ValidateCommand(_SnowdockCommand):
    """Check a folder of declarations without a cluster."""

    name = "validate"
    description = "Check a folder of declarations and policies; names every mistake."
    arguments = [argument("folder", "The folder with *.ini and *.star files.")]  # noqa: RUF012

    def run_command(self) -> int | None:
        """Check."""
        # Only this command needs the policy programs' interpreter.
        from ..policies import PolicySet

        declarations = parse_declarations(_read_folder(self.argument("folder")))
        PolicySet.check(declarations)
        self.line(
            f"good: {len(declarations.teams)} teams, {len(declarations.services)} services, "
            f"{len(declarations.endpoints)} endpoints, {len(declarations.policies)} policies"
        )


class ApplyCommand(_SnowdockCommand):
    """Publish a folder of declarations."""

    name = "apply"
    description = "Publish a folder of declarations; prints the new version."
    arguments = [argument("folder", "The folder with *.ini and *.star files.")]  # noqa: RUF012
    options = [  # noqa: RUF012
        _NODES_OPTION,
        option("base", None, "The version that the change was made from.", flag=False),
        option("author", None, "Who makes the change.", flag=False),
        option("wait", None, "Wait until the version is in force on every node."),
    ]

    def run_command(self) -> int | None:
        """Publish."""
        files = _read_folder(self.argument("folder"))
        parse_declarations(files)
        base = self.option("base")
        if base is None:
            base = self.api.read("/v1/version", models.VersionReport).version
        elif not str(base).isdigit():
            raise InvalidInput("--base is a version number")
        body = msgspec.json.encode(
            {"base": int(base), "files": files, "author": self.option("author") or ""}
        )
        response = self.api.post("/v1/configuration", body, _JSON_CONTENT_TYPE, _AppliedChange)
        self.line(f"version {response.version}")
        if self.option("wait"):
            self._wait_for_version(response.version)

    def _wait_for_version(self, version: int) -> None:
        nodes = self.api.read("/v1/nodes", list[models.NodeReport])
        for node in nodes:
            if not node.seems_alive:
                self.line(f"{node.name}: does not seem alive, not waited for")
                continue
            client = ApiClient(node.api_address)
            while client.read("/v1/version", models.VersionReport).version < version:
                time.sleep(_POLL_INTERVAL_SECONDS)
        self.line(f"version {version} is in force on {len(nodes)} nodes")


class GetCommand(_SnowdockCommand):
    """Show the declarations in force."""

    name = "get"
    description = "Show the declarations in force."
    options = [_NODES_OPTION]  # noqa: RUF012

    def run_command(self) -> int | None:
        """Show."""
        declarations = self.api.read("/v1/configuration", Declarations)
        self.line(msgspec.json.format(msgspec.json.encode(declarations)).decode())


class VersionCommand(_SnowdockCommand):
    """Show the version in force on each node."""

    name = "version"
    description = "Show the version of the configuration in force on each node."
    options = [_NODES_OPTION, _JSON_OPTION]  # noqa: RUF012

    def run_command(self) -> int | None:
        """Ask each node for itself."""
        rows = []
        for node in self.api.read("/v1/nodes", list[models.NodeReport]):
            try:
                rows.append(ApiClient(node.api_address).read("/v1/version", models.VersionReport))
            except SnowdockError as error:
                self.line_error(f"{node.name}: {error}")
        self.print_rows(rows)


class SubmitCommand(_SnowdockCommand):
    """Submit batches and gangs."""

    name = "submit"
    description = "Submit the batches and gangs of a work file."
    arguments = [argument("file", "The work file.")]  # noqa: RUF012
    options = [  # noqa: RUF012
        _NODES_OPTION,
        option("key", None, "Names this submission; sent again, it is the same work.", flag=False),
        option("wait", None, "Wait for the work's end; the exit status tells how it went."),
    ]

    def run_command(self) -> int | None:
        """Submit, and wait where asked to."""
        file = pathlib.Path(self.argument("file"))
        text = _read_text(file)
        parse_work(file.name, text)
        key = self.option("key") or uuid.uuid4().hex
        submitted = self.api.post(
            "/v1/work", text.encode(), "text/plain", list[_SubmittedWork], key
        )
        for work in submitted:
            self.line(f"{work.work} {work.name}")
        return self._wait_for_all(submitted) if self.option("wait") else None

    def _wait_for_all(self, submitted: list[_SubmittedWork]) -> int:
        status = 0
        for work in submitted:
            report = _wait_for_work(self, work.work)
            self.line(f"{work.name}: {report.state}")
            if report.state != "succeeded":
                status = EXIT_WORK_FAILED
        return status


def _wait_for_work(command: _SnowdockCommand, number: int) -> models.WorkReport:
    last_line = ""
    while True:
        report = command.api.read(f"/v1/work/{number}", models.WorkReport)
        line = ", ".join(f"{count} {state}" for state, count in sorted(report.counts.items()))
        if line != last_line:
            command.line(f"{report.name}: {line} {report.waiting_reason}".rstrip())
            last_line = line
        if report.finished_ms:
            return report
        time.sleep(_POLL_INTERVAL_SECONDS)


class StatusCommand(_SnowdockCommand):
    """Show the cluster, or one work."""

    name = "status"
    description = "Show the cluster at a glance, or one work and its tasks."
    arguments = [argument("work", "A work's number.", optional=True)]  # noqa: RUF012
    options = [  # noqa: RUF012
        _NODES_OPTION,
        _JSON_OPTION,
        option("why", None, "Show only why the work waits."),
    ]

    def run_command(self) -> int | None:
        """Show."""
        number = self.argument("work")
        if number is None:
            self.print_rows([self.api.read("/v1/status", models.ClusterStatus)])
            return
        if not number.isdigit():
            raise InvalidInput("a work is named by its number")
        report = self._read_report(number)
        if self.option("why"):
            self.line(report.waiting_reason or f"it does not wait: {report.state}")
            return
        tasks, report.tasks = report.tasks, []
        self.print_rows([report])
        if not self.option("json"):
            self.print_rows(tasks)

    def _read_report(self, number: str) -> models.WorkReport:
        """Read a work from the node that places it, since only that one knows why it waits."""
        report = self.api.read(f"/v1/work/{number}", models.WorkReport)
        for node in self.api.read("/v1/nodes", list[models.NodeReport]):
            if report.waiting_reason or not report.counts.get("queued"):
                return report
            if node.seems_alive:
                report = ApiClient(node.api_address).read(f"/v1/work/{number}", models.WorkReport)
        return report


class CancelCommand(_SnowdockCommand):
    """Cancel work."""

    name = "cancel"
    description = "Cancel works by number; cancelling twice is harmless."
    arguments = [argument("works", "The works' numbers.", multiple=True)]  # noqa: RUF012
    options = [_NODES_OPTION]  # noqa: RUF012

    def run_command(self) -> int | None:
        """Cancel each."""
        for number in self.argument("works"):
            if not number.isdigit():
                raise InvalidInput("a work is named by its number")
            self.api.post(f"/v1/work/{number}/cancel", b"", _JSON_CONTENT_TYPE, dict[str, int])
            self.line(f"{number} cancelled")


class CallCommand(_SnowdockCommand):
    """Send a request to an endpoint."""

    name = "call"
    description = "Send a request to an endpoint and print the answer."
    arguments = [  # noqa: RUF012
        argument("endpoint", "The endpoint's name."),
        argument("path", "The path at the minion.", optional=True, default="/"),
    ]
    options = [  # noqa: RUF012
        _NODES_OPTION,
        option("data", "d", "The body.", flag=False),
        option("id", None, "The request's id, to ask again.", flag=False),
        option("once", None, "The request must not be repeated."),
        option("deadline-ms", None, "How long to wait for the answer.", flag=False),
    ]

    def run_command(self) -> int | None:
        """Send."""
        once = bool(self.option("once"))
        request_id = self.option("id") or new_request_id()
        headers = {
            "Snowdock-Request-Id": request_id,
            "Snowdock-Repeatable": "no" if once else "yes",
            "Content-Type": "text/plain",
        }
        if self.option("deadline-ms"):
            headers["Snowdock-Deadline-Ms"] = self.option("deadline-ms")
        path = "/" + self.argument("path").lstrip("/")
        response = self.api.send(
            "POST",
            f"/call/{self.argument('endpoint')}{path}",
            (self.option("data") or "").encode(),
            headers,
            is_repeatable=not once,
        )
        outcome = response.headers.get("Snowdock-Outcome", "unknown")
        self.line_error(f"request {request_id}: {outcome}")
        if "Retry-After" in response.headers:
            self.line_error(f"come back in {response.headers['Retry-After']} s")
        sys.stdout.buffer.write(response.data + b"\n")
        sys.stdout.flush()
        return {"ran": 0, "not-run": EXIT_REFUSED}.get(outcome, EXIT_UNKNOWN)


def _make_list_command(
    command_name: str, path: str, model: type, plural: str
) -> type[_SnowdockCommand]:
    """Make a command that lists models of one kind."""

    class ListCommand(_SnowdockCommand):
        """List models."""

        name = command_name
        description = f"List {plural}."
        options = [_NODES_OPTION, _JSON_OPTION]  # noqa: RUF012

        def run_command(self) -> int | None:
            """List."""
            self.print_rows(self.api.read(path, list[model]))

    return ListCommand


class DrainCommand(_SnowdockCommand):
    """Ask one node to end in good order."""

    name = "drain"
    description = "Ask one node to end what it has in flight, give back what it holds, and stop."
    arguments = [argument("node", "The node's name.")]  # noqa: RUF012
    options = [_NODES_OPTION]  # noqa: RUF012

    def run_command(self) -> int | None:
        """Find the node and ask it."""
        node_name = self.argument("node")
        for node in self.api.read("/v1/nodes", list[models.NodeReport]):
            if node.name == node_name:
                ApiClient(node.api_address).post(
                    "/v1/drain", b"", _JSON_CONTENT_TYPE, dict[str, bool]
                )
                self.line(f"{node_name} drains")
                return
        raise InvalidInput(f"no node {node_name}")


class KeysCommand(_SnowdockCommand):
    """Make keys for the nodes of a new cluster."""

    name = "keys"
    description = "Print a new pair of keys for the nodes' settings, and a token."

    def run_command(self) -> int | None:
        """Make and print them."""
        public, secret = zmq.curve_keypair()
        self.line("[security]")
        self.line(f"peer_public_key = {public.decode()}")
        self.line(f"peer_secret_key = {secret.decode()}")
        self.line("; a token for the tokens file")
        self.line(f"; token = {secrets.token_urlsafe(32)}")


COMMANDS = (
    KeysCommand,
    ValidateCommand,
    ApplyCommand,
    GetCommand,
    VersionCommand,
    SubmitCommand,
    StatusCommand,
    CancelCommand,
    CallCommand,
    DrainCommand,
    _make_list_command("nodes", "/v1/nodes", models.NodeReport, "the nodes"),
    _make_list_command("workers", "/v1/workers", models.WorkerReport, "the workers"),
    _make_list_command("minions", "/v1/minions", models.MinionReport, "the minions"),
    _make_list_command("work", "/v1/work", models.WorkReport, "all work"),
)
