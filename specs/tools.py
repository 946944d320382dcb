"""What the models share."""

from collections.abc import Callable
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["Rules", "make_protocol", "replace_item"]


def replace_item(values: tuple, index: int, value: object) -> tuple:
    """Give a tuple with one value replaced."""
    return (*values[:index], value, *values[index + 1 :])


class Rules:
    """The rules of a protocol, of which one may be left out."""

    def __init__(self, left_out: str) -> None:
        self._left_out = left_out

    def holds(self, rule: str) -> bool:
        """Tell whether a rule is in force."""
        return rule != self._left_out


def make_protocol(
    name: str,
    left_out: str,
    initial: NamedTuple,
    transitions: Callable[[NamedTuple], list],
    invariants: dict[str, Callable[[dict], bool]],
    goal: Callable[[dict], bool],
) -> Protocol:
    """Make the checker's protocol of a model whose states are one kind of named tuple.

    Parameters
    ----------
    name
        The model's name.
    left_out
        The rule that is left out, or nothing.
    initial
        The first state, a named tuple.
    transitions
        Gives labels and next states of a state; all of them are of the first one's kind.
    invariants
        What must hold in every state, by name.
    goal
        What has to stay within reach.
    """
    state_type = type(initial)

    def list_steps(values: tuple) -> list:
        # The checker knows plain tuples only.
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
