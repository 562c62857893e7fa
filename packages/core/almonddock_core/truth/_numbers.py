"""Sums that do not depend on the order of their terms."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from fractions import Fraction

#: Integers up to this value are exact as binary floating point numbers.
MAX_EXACT_FLOAT = 9_007_199_254_740_992

#: Integers up to this value are parsed exactly from JSON text.
MAX_JSON_INTEGER = 9_000_000_000_000_000_000


@dataclass(frozen=True, slots=True)
class ExactSum:
    """A sum without rounding error; its value is the sum of all fields."""

    #: The sum of the integer terms.
    whole: int = 0
    #: Non-overlapping floating point terms; None if only integers were added.
    parts: tuple[float, ...] | None = None

    def list_terms(self) -> list[int | float]:
        """Returns JSON numbers with exactly this sum."""
        terms: list[int | float] = []
        rest = self.whole
        while abs(rest) > MAX_JSON_INTEGER:
            step = MAX_JSON_INTEGER if rest > 0 else -MAX_JSON_INTEGER
            terms.append(step)
            rest -= step
        terms.append(rest)
        if self.parts is not None:
            terms.extend(self.parts or (float(0),))
        return terms

    def round(self) -> int | float:
        """Returns the sum, exact for integers, else correctly rounded."""
        if self.parts is None:
            return self.whole
        if abs(self.whole) <= MAX_EXACT_FLOAT:
            return math.fsum((*self.parts, self.whole)) + float(0)
        exact = sum(map(Fraction, self.parts), Fraction(self.whole))
        return float(exact)


def add_exactly(terms: Iterable[int | float]) -> ExactSum:
    """Adds integers and floating point numbers without rounding.

    Raises:
        OverflowError: The floating point terms exceed the range of a float.
    """
    whole = 0
    parts: list[float] | None = None
    for term in terms:
        if isinstance(term, int):
            whole += term
        else:
            parts = _grow_expansion(parts or [], term)
    return ExactSum(whole, None if parts is None else tuple(parts))


def _grow_expansion(parts: Sequence[float], term: float) -> list[float]:
    """Adds a term to a non-overlapping expansion (Shewchuk's algorithm)."""
    grown = []
    carry = term
    for part in parts:
        high, low = _add_two(carry, part)
        if low:
            grown.append(low)
        carry = high
    if math.isinf(carry):
        raise OverflowError('the sum exceeds the range of a float')
    if carry:
        grown.append(carry)
    return grown


def _add_two(first: float, second: float) -> tuple[float, float]:
    """Returns the rounded sum and its rounding error."""
    if abs(first) < abs(second):
        first, second = second, first
    high = first + second
    return high, second - (high - first)
