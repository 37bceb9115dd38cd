"""Random numbers, passed to every class that draws them."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

Item = TypeVar("Item")


class RandomSource(Protocol):
    """The part of :class:`random.Random` that the project uses."""

    def random(self) -> float:
        """Returns a number from 0 (included) to 1 (excluded)."""
        ...

    def uniform(self, a: float, b: float) -> float:
        """Returns a number between ``a`` and ``b``."""
        ...

    def choice(self, seq: Sequence[Item]) -> Item:
        """Returns one item of a sequence that is not empty."""
        ...

    def sample(self, population: Sequence[Item], k: int) -> list[Item]:
        """Returns ``k`` different items of ``population``."""
        ...

    def getrandbits(self, k: int) -> int:
        """Returns a non-negative integer of ``k`` random bits."""
        ...
