"""What the models share."""

__all__ = ["Rules", "replaced"]


def replaced(values: tuple, index: int, value: object) -> tuple:
    """Give a tuple with one value replaced."""
    return (*values[:index], value, *values[index + 1 :])


class Rules:
    """The rules of a protocol, of which one may be left out."""

    def __init__(self, left_out: str) -> None:
        self._left_out = left_out

    def holds(self, rule: str) -> bool:
        """Tell whether a rule is in force."""
        return rule != self._left_out
