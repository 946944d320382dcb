"""Compilation and evaluation of policy programs.

A program is Starlark source that defines five functions; see ``docs/policies.md``. For one
kind of work it controls admission, order, the choice of a VM, preemption and the delay of
retries. A program is validated with sample arguments before use, and each call has a time
limit. If a call fails, the built-in program for the kind is used instead.
"""

import ast
import dataclasses
import time
from collections.abc import Callable, Mapping

import starlark

from .declarations import WORK_KINDS, Declarations
from .errors import DeclarationError, DeclarationErrors, PolicyError
from .programs import builtin_programs

__all__ = ["PolicyFailure", "PolicySet", "Program", "compile_program"]

CALL_TIMEOUT_SECONDS = 0.01
"""Time limit of a call; a call that takes longer fails."""

_FUNCTIONS = ("admit", "rank", "score", "preempt", "backoff_seconds")
_BUILTIN_FOR_KIND = {
    "service": "service_spread.star",
    "batch": "waiting_first.star",
    "gang": "gang.star",
}
_PREEMPT_RESULTS = ("", "checkpoint", "stop")
_MAX_CACHED_SCORES = 50_000

_SAMPLE_WORK = {
    "kind": "batch",
    "name": "sample",
    "team": "sample",
    "tasks": 4,
    "cpu": 2.0,
    "memory_gb": 4.0,
    "accelerators": 0,
    "run_seconds": 60.0,
    "priority": 50,
    "urgent": False,
    "waited_seconds": 12.0,
    "slack_seconds": 3.0,
    "overdue": 0.5,
    "share_used": 1.5,
}
_SAMPLE_VM = {
    "free_fraction": 0.5,
    "failure_streak": 0,
    "same_vm": 1,
    "same_rack": 1,
    "same_hall": 2,
    "accelerators": 0,
    "slowness": 1.2,
}
_SAMPLES = {
    "admit": ((_SAMPLE_WORK,),),
    "rank": ((_SAMPLE_WORK,), ({**_SAMPLE_WORK, "urgent": True, "waited_seconds": 0.0},)),
    "score": ((_SAMPLE_WORK, _SAMPLE_VM), (_SAMPLE_WORK, {**_SAMPLE_VM, "free_fraction": 0.0})),
    "preempt": ((_SAMPLE_WORK, {**_SAMPLE_WORK, "priority": 10}),),
    "backoff_seconds": ((_SAMPLE_WORK, 0), (_SAMPLE_WORK, 20)),
}


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and value == value


_RESULT_CHECKS: Mapping[str, tuple[Callable[[object], bool], str]] = {
    "admit": (lambda v: v is True or isinstance(v, str), "True or a reason"),
    "rank": (_is_number, "a number"),
    "score": (lambda v: v is None or _is_number(v), "a number, or None for unfit"),
    "preempt": (lambda v: v in _PREEMPT_RESULTS, "'', 'checkpoint' or 'stop'"),
    "backoff_seconds": (lambda v: _is_number(v) and v >= 0, "a number that is not negative"),
}


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyFailure:
    """A failure to call or to compile a policy program in force.

    Attributes
    ----------
    program
        File name of the program.
    function
        The function that failed, or ``compile``.
    problem
        The error message.
    """

    program: str
    function: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class _ScoreFields:
    """The fields of the work and of the VM that a program's ``score`` reads."""

    work: tuple[str, ...]
    vm: tuple[str, ...]

    def select(self, work: Mapping, vm: Mapping) -> tuple:
        """Return the values of these fields, on which a score depends."""
        return (*(work.get(field) for field in self.work), *(vm.get(field) for field in self.vm))


class Program:
    """A compiled program whose calls have a time limit and whose results are validated.

    Parameters
    ----------
    name
        The program's file name.
    module
        The compiled program.
    score_fields
        The fields that ``score`` reads; None if they cannot be told.
    """

    def __init__(
        self, name: str, module: starlark.FrozenModule, score_fields: _ScoreFields | None
    ) -> None:
        self._name = name
        self._module = module
        self._score_fields = score_fields

    @property
    def score_fields(self) -> _ScoreFields | None:
        """The fields that ``score`` reads; None if they cannot be told."""
        return self._score_fields

    @property
    def name(self) -> str:
        """The program's file name."""
        return self._name

    def call(self, function: str, *arguments: object) -> object:
        """Call one of the program's functions.

        Raises
        ------
        PolicyError
            If the call fails, exceeds `CALL_TIMEOUT_SECONDS`, or returns an invalid result.
        """
        deadline = time.perf_counter() + CALL_TIMEOUT_SECONDS
        options = starlark.EvalOptions(check_cancelled=lambda: time.perf_counter() > deadline)
        try:
            value = self._module.call_with(options, function, *arguments).value
        except starlark.StarlarkError as error:
            raise PolicyError(f"{self._name}: {function}: {_format_error(error)}") from error
        is_valid, expected = _RESULT_CHECKS[function]
        if not is_valid(value):
            raise PolicyError(f"{self._name}: {function} returned {value!r}, expected {expected}")
        return value


def _format_error(error: Exception) -> str:
    lines = [line.strip() for line in str(error).splitlines()]
    relevant = [line for line in lines if line.startswith(("error", "-->"))]
    return " ".join(relevant) or " ".join(lines)


def compile_program(name: str, text: str) -> Program:
    """Compile a program and call each of its functions with sample arguments.

    Parameters
    ----------
    name
        The program's file name, for error messages.
    text
        The program's source.

    Returns
    -------
    Program
        The validated program.

    Raises
    ------
    PolicyError
        If the program does not compile or fails with the sample arguments. The message names
        the line.
    """
    module = starlark.Module()
    deadline = time.perf_counter() + CALL_TIMEOUT_SECONDS
    options = starlark.EvalOptions(check_cancelled=lambda: time.perf_counter() > deadline)
    try:
        tree = starlark.parse(name, text)
        starlark.eval_with(options, module, tree, starlark.Globals.standard())
    except starlark.StarlarkError as error:
        raise PolicyError(f"{name}: {_format_error(error)}") from error
    program = Program(name, module.freeze(), _find_score_fields(text))
    for function in _FUNCTIONS:
        for sample in _SAMPLES[function]:
            program.call(function, *sample)
    return program


def _find_score_fields(text: str) -> _ScoreFields | None:
    """Return the fields that a program's ``score`` reads, or None if it may read others.

    Starlark is a subset of Python, whose parser is used here. Each use of an argument has to be a
    subscript with a constant name.
    """
    try:
        tree = ast.parse(text)
    except (SyntaxError, ValueError):
        return None
    scores = [
        node for node in tree.body if isinstance(node, ast.FunctionDef) and node.name == "score"
    ]
    if len(scores) != 1 or len(scores[0].args.args) != 2:
        return None
    fields = [_find_read_fields(scores[0], argument.arg) for argument in scores[0].args.args]
    return None if None in fields else _ScoreFields(*fields)


def _find_read_fields(function: ast.FunctionDef, argument: str) -> tuple[str, ...] | None:
    """Return the fields of an argument that a function reads, or None if it may read others."""
    uses = 0
    fields = set()
    for node in ast.walk(function):
        if isinstance(node, ast.Name) and node.id == argument:
            uses += 1
        elif (
            isinstance(node, ast.Subscript)
            and isinstance(node.value, ast.Name)
            and node.value.id == argument
            and isinstance(node.slice, ast.Constant)
            and isinstance(node.slice.value, str)
        ):
            fields.add((node.slice.value, node.lineno, node.col_offset))
    names = tuple(sorted({name for name, _, _ in fields}))
    return names if uses == len(fields) else None


class PolicySet:
    """The programs in force, one for each kind of work.

    Parameters
    ----------
    on_failure
        Called with each failure to call or to compile a program in force.
    """

    def __init__(self, on_failure: Callable[[PolicyFailure], None]) -> None:
        self._on_failure = on_failure
        self._builtin = self._compile_for_kinds(Declarations())
        self._current = dict(self._builtin)
        self._scores: dict[tuple, object] = {}

    @staticmethod
    def _compile_for_kinds(declarations: Declarations) -> dict[str, Program]:
        texts = {**builtin_programs(), **declarations.programs}
        compiled, errors = {}, []
        for kind in WORK_KINDS:
            policy = declarations.policies.get(kind)
            name = policy.program if policy else _BUILTIN_FOR_KIND[kind]
            try:
                compiled[kind] = compile_program(name, texts[name])
            except PolicyError as error:
                errors.append(DeclarationError(name, f"policy {kind}", "program", str(error)))
        if errors:
            raise DeclarationErrors("a policy program is not usable", errors)
        return compiled

    @classmethod
    def check(cls, declarations: Declarations) -> None:
        """Check all programs of a configuration before it is published.

        Raises
        ------
        DeclarationErrors
            With a `DeclarationError` for each program that is not usable.
        """
        cls._compile_for_kinds(declarations)

    def replace(self, declarations: Declarations) -> None:
        """Put the programs of a configuration in force.

        If any of them does not compile, all previous programs stay in force and each error
        is reported as a failure.
        """
        self._scores.clear()
        try:
            self._current = self._compile_for_kinds(declarations)
        except DeclarationErrors as errors:
            for error in errors.exceptions:
                self._on_failure(PolicyFailure(error.file, "compile", error.problem))

    def call(self, kind: str, function: str, *arguments: object) -> object:
        """Call a function of a kind's program, or of the built-in one if that fails."""
        try:
            return self._current[kind].call(function, *arguments)
        except PolicyError as error:
            self._on_failure(PolicyFailure(self._current[kind].name, function, str(error)))
            return self._builtin[kind].call(function, *arguments)

    def score(self, kind: str, work: Mapping, vm: Mapping) -> float | None:
        """Return the score of a VM for a work, cached by the fields that the program reads.

        If these cannot be told, it is cached by the work's name and team, and by the VM: then a
        score must not depend on the time that the work has waited.
        """
        fields = self._current[kind].score_fields
        if fields is None:
            key = (kind, work["name"], work["team"], *vm.values())
        else:
            key = (kind, *fields.select(work, vm))
        if key not in self._scores:
            if len(self._scores) >= _MAX_CACHED_SCORES:
                self._scores.clear()
            self._scores[key] = self.call(kind, "score", work, vm)
        return self._scores[key]
