"""Declarations of operators and callers: INI text checked into validated models.

A folder of ``*.ini`` and ``*.star`` files makes one configuration. Every mistake is found in
one pass and named by file, section and key.
"""

import configparser
from collections.abc import Callable, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

from .errors import DeclarationError, DeclarationErrors
from .programs import builtin_programs

__all__ = [
    "WORK_KINDS",
    "ZERO_SIZE",
    "Declarations",
    "Endpoint",
    "Limits",
    "Policy",
    "Service",
    "Size",
    "Team",
    "WorkSpec",
    "check_references",
    "check_section",
    "make_service_spec",
    "parse_declarations",
    "parse_work",
]

WORK_KINDS = ("service", "batch", "gang")
"""Kinds of work; each has a policy."""

_MAX_TASKS = 10_000

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Cores = Annotated[float, Meta(ge=0.01, le=1024)]
Gigabytes = Annotated[float, Meta(ge=0.001, le=65536)]
Accelerators = Annotated[int, Meta(ge=0, le=64)]
Priority = Annotated[int, Meta(ge=0, le=100)]
TaskCount = Annotated[int, Meta(ge=1, le=_MAX_TASKS)]


class Size(msgspec.Struct, array_like=True, frozen=True):
    """An amount of a VM: thousandths of a core, MiB of memory, whole accelerators."""

    cpu: int
    memory: int
    accelerators: int = 0

    def plus(self, other: "Size") -> "Size":
        """Add another amount to this one."""
        return Size(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Size") -> "Size":
        """Take another amount from this one; the result may be negative."""
        return Size(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def elementwise_max(self, other: "Size") -> "Size":
        """Give the larger of both, of each kind of room."""
        return Size(
            max(self.cpu, other.cpu),
            max(self.memory, other.memory),
            max(self.accelerators, other.accelerators),
        )

    def times(self, count: int) -> "Size":
        """Give so many times this amount."""
        return Size(self.cpu * count, self.memory * count, self.accelerators * count)

    def scaled(self, factor: float) -> "Size":
        """Give a multiple of this amount, rounded down."""
        return Size(
            int(self.cpu * factor), int(self.memory * factor), int(self.accelerators * factor)
        )

    def holds(self, other: "Size") -> bool:
        """Tell whether the other amount fits into this one."""
        return (
            self.cpu >= other.cpu
            and self.memory >= other.memory
            and self.accelerators >= other.accelerators
        )


ZERO_SIZE = Size(0, 0, 0)


class WorkSpec(msgspec.Struct, array_like=True, frozen=True):
    """What a caller or a declaration asks to run."""

    kind: str
    name: str
    team: str
    tasks: int
    size: Size
    run_ms: int = 0
    priority: int = 50
    retries: int = 3
    urgent: bool = False
    preemptible: bool = True


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team and the most that it may hold at once."""

    cpu: Annotated[float, Meta(ge=0, le=1_000_000)]
    memory_gb: Annotated[float, Meta(ge=0, le=10_000_000)]
    accelerators: Annotated[int, Meta(ge=0, le=1_000_000)] = 0

    @property
    def quota(self) -> Size:
        """The quota as a size."""
        return _make_size(self.cpu, self.memory_gb, self.accelerators)


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The policy program of one kind of work."""

    program: Annotated[str, Meta(pattern=r"^[a-z0-9_]{1,60}\.star$")]


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service on minions that callers send requests to.

    ``slots`` and ``connections`` are what one minion bears at once; ``queue`` bounds the
    requests that one node holds back while no slot is free.
    """

    minions: Name
    slots: Annotated[int, Meta(ge=1, le=1024)] = 8
    connections: Annotated[int, Meta(ge=1, le=65536)] = 64
    queue: Annotated[int, Meta(ge=0, le=100_000)] = 200
    deadline_ms: Annotated[int, Meta(ge=1, le=600_000)] = 5000


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A long-lived service whose tasks are replaced when they end."""

    team: Name
    tasks: TaskCount
    cpu: Cores
    memory_gb: Gigabytes
    accelerators: Accelerators = 0
    priority: Priority = 50
    droppable: bool = True


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of the whole cluster.

    ``clock_margin_ms`` is the most by which two VMs' clocks may differ.
    """

    queued_tasks: Annotated[int, Meta(ge=1, le=1_000_000)] = 50_000
    lease_ms: Annotated[int, Meta(ge=500, le=600_000)] = 30_000
    clock_margin_ms: Annotated[int, Meta(ge=0, le=60_000)] = 1000
    request_window_ms: Annotated[int, Meta(ge=1000, le=86_400_000)] = 600_000


class Declarations(msgspec.Struct, frozen=True):
    """One whole configuration."""

    teams: dict[str, Team] = {}
    policies: dict[str, Policy] = {}
    endpoints: dict[str, Endpoint] = {}
    services: dict[str, Service] = {}
    limits: Limits = Limits()
    programs: dict[str, str] = {}


class _WorkSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A batch or gang section of a work file."""

    team: Name
    tasks: TaskCount
    cpu: Cores
    memory_gb: Gigabytes
    run_seconds: Annotated[float, Meta(gt=0, le=31_536_000)]
    accelerators: Accelerators = 0
    priority: Priority = 50
    retries: Annotated[int, Meta(ge=0, le=100)] = 3
    urgent: bool = False
    preemptible: bool = True


def _make_size(cpu: float, memory_gb: float, accelerators: int) -> Size:
    return Size(round(cpu * 1000), round(memory_gb * 1024), accelerators)


def make_service_spec(name: str, service: Service) -> WorkSpec:
    """Turn a declared service into the work that it asks for."""
    return WorkSpec(
        kind="service",
        name=name,
        team=service.team,
        tasks=service.tasks,
        size=_make_size(service.cpu, service.memory_gb, service.accelerators),
        priority=service.priority,
        preemptible=service.droppable,
    )


def _make_work_spec(kind: str, name: str, section: _WorkSection) -> WorkSpec:
    return WorkSpec(
        kind=kind,
        name=name,
        team=section.team,
        tasks=section.tasks,
        size=_make_size(section.cpu, section.memory_gb, section.accelerators),
        run_ms=round(section.run_seconds * 1000),
        priority=section.priority,
        retries=section.retries,
        urgent=section.urgent,
        preemptible=section.preemptible,
    )


def check_section(
    model: type, values: Mapping[str, str], make_error: Callable[[str, str], Exception]
) -> tuple[object | None, list[Exception]]:
    """Check a section's values against a model, field by field.

    Parameters
    ----------
    model
        A struct type whose fields are the allowed keys.
    values
        Keys and texts of the section.
    error
        Makes the failure for a key and a problem.

    Returns
    -------
    tuple
        The model, or None where anything was wrong, and every failure found.
    """
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    errors = [make_error(key, "unknown key") for key in values if key not in fields]
    converted = {}
    for name, field in fields.items():
        if name not in values:
            if field.required:
                errors.append(make_error(name, "missing"))
            continue
        try:
            converted[name] = _convert(values[name], field.type)
        except msgspec.ValidationError as problem:
            errors.append(make_error(name, f"{problem} (given: {values[name][:60]!r})"))
    return (None if errors else model(**converted)), errors


def _convert(text: str, field_type: type) -> object:
    value = msgspec.convert(text, field_type, strict=False)
    # Python's float() takes "nan", which passes no comparison and so no bound.
    if isinstance(value, float) and value != value:
        raise msgspec.ValidationError("Expected a number")
    return value


def _read_ini(file: str, text: str, errors: list[Exception]) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text, source=file)
    except configparser.Error as problem:
        errors.append(DeclarationError(file, "", "", str(problem).replace("\n", " ")))
    return parser


_SECTION_MODELS = {
    "team": Team,
    "policy": Policy,
    "endpoint": Endpoint,
    "service": Service,
}


def _split_section_title(section: str) -> tuple[str, str]:
    kind, _, name = section.partition(" ")
    return kind, name.strip()


def _check_name(file: str, section: str, name: str, errors: list[Exception]) -> None:
    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError:
        problem = "a name of small letters, digits, '.', '_' or '-' is needed"
        errors.append(DeclarationError(file, section, "", problem))


def parse_declarations(files: Mapping[str, str]) -> Declarations:
    """Check a folder's files and make one configuration of them.

    Parameters
    ----------
    files
        File names with their texts: ``*.ini`` and ``*.star``.

    Returns
    -------
    Declarations
        The configuration.

    Raises
    ------
    DeclarationErrors
        With one `DeclarationError` for each mistake.
    """
    errors: list[Exception] = []
    models_by_kind: dict[str, dict[str, object]] = {kind: {} for kind in _SECTION_MODELS}
    limits = Limits()
    for file, text in sorted(files.items()):
        if not file.endswith(".ini"):
            continue
        parser = _read_ini(file, text, errors)
        for section in parser.sections():
            kind, name = _split_section_title(section)
            model = Limits if section == "limits" else _SECTION_MODELS.get(kind)
            if model is None:
                errors.append(DeclarationError(file, section, "", "unknown kind of section"))
                continue
            parsed, problems = check_section(
                model,
                parser[section],
                lambda key, problem, f=file, s=section: DeclarationError(f, s, key, problem),
            )
            errors.extend(problems)
            if model is Limits:
                limits = parsed or limits
                continue
            _check_name(file, section, name, errors)
            if name in models_by_kind[kind]:
                errors.append(DeclarationError(file, section, "", "declared twice"))
            if parsed is not None:
                models_by_kind[kind][name] = parsed
    declarations = Declarations(
        teams=models_by_kind["team"],
        policies=models_by_kind["policy"],
        endpoints=models_by_kind["endpoint"],
        services=models_by_kind["service"],
        limits=limits,
        programs={name: text for name, text in files.items() if name.endswith(".star")},
    )
    # References are only worth checking once every section is there.
    if not errors:
        errors.extend(check_references(declarations))
    if errors:
        raise DeclarationErrors("the declarations have mistakes", errors)
    return declarations


def check_references(declarations: Declarations) -> list[Exception]:
    """Find names that no section or file declares.

    Parameters
    ----------
    declarations
        The configuration.

    Returns
    -------
    list of DeclarationError
        One for each unknown kind, program or team.
    """
    errors: list[Exception] = []
    for kind, policy in declarations.policies.items():
        section = f"policy {kind}"
        if kind not in WORK_KINDS:
            errors.append(
                _make_reference_error(section, "", f"unknown kind of work; known: {WORK_KINDS}")
            )
        if policy.program not in {**builtin_programs(), **declarations.programs}:
            errors.append(_make_reference_error(section, "program", f"no file {policy.program}"))
    for name, service in declarations.services.items():
        if service.team not in declarations.teams:
            errors.append(
                _make_reference_error(f"service {name}", "team", f"unknown team {service.team}")
            )
    return errors


def _make_reference_error(section: str, key: str, problem: str) -> DeclarationError:
    return DeclarationError("declarations", section, key, problem)


def parse_work(file: str, text: str) -> list[WorkSpec]:
    """Check a work file with ``[batch NAME]`` and ``[gang NAME]`` sections.

    Parameters
    ----------
    file
        The file's name, for messages.
    text
        Its text.

    Returns
    -------
    list of WorkSpec
        One for each section.

    Raises
    ------
    DeclarationErrors
        With one `DeclarationError` for each mistake.
    """
    errors: list[Exception] = []
    specs = []
    parser = _read_ini(file, text, errors)
    for section in parser.sections():
        kind, name = _split_section_title(section)
        if kind not in ("batch", "gang"):
            errors.append(DeclarationError(file, section, "", "expected batch or gang"))
            continue
        _check_name(file, section, name, errors)
        parsed, problems = check_section(
            _WorkSection,
            parser[section],
            lambda key, problem, s=section: DeclarationError(file, s, key, problem),
        )
        errors.extend(problems)
        if parsed is not None:
            specs.append(_make_work_spec(kind, name, parsed))
    if not specs and not errors:
        errors.append(DeclarationError(file, "", "", "no work in this file"))
    if errors:
        raise DeclarationErrors("the work file has mistakes", errors)
    return specs
