"""Helpers for building the models."""

from collections.abc import Callable
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["Rules", "make_protocol", "replace_item"]


def replace_item(values: tuple, index: int, value: object) -> tuple:
    """Return a copy of a tuple with one item replaced."""
    return (*values[:index], value, *values[index + 1 :])


class Rules:
    """The rules of a protocol, of which one may be left out."""

    def __init__(self, left_out: str) -> None:
        self._left_out = left_out

    def holds(self, rule: str) -> bool:
        """Check whether a rule is in force."""
        return rule != self._left_out


def make_protocol(
    name: str,
    left_out: str,
    initial: NamedTuple,
    transitions: Callable[[NamedTuple], list],
    invariants: dict[str, Callable[[dict], bool]],
    goal: Callable[[dict], bool],
) -> Protocol:
    """Build the checker's protocol for a model whose states are named tuples of one type.

    Parameters
    ----------
    name
        The model's name.
    left_out
        The rule that is left out, or an empty string.
    initial
        The initial state.
    transitions
        Returns the labels and next states of a state; all states have the initial state's type.
    invariants
        Predicates that must hold in every state, by name.
    goal
        Predicate of the states that must stay reachable.
    """
    state_type = type(initial)

    def list_steps(values: tuple) -> list:
        # The checker supports plain tuples only.
        return [(label, tuple(after)) for label, after in transitions(state_type(*values))]

    return Protocol(
        name=name + (f" without {left_out}" if left_out else ""),
        candidate=not left_out,
        fields=initial._fields,
        initial=tuple(initial),
        transitions=list_steps,
        invariants=invariants,
        goal=goal,
    )
