"""Immutable maps from names to numbers, hashable so that the model checker can store them."""

Number = int | float
NumberMap = tuple[tuple[str, Number], ...]


def get_number(numbers: NumberMap, key: str) -> Number:
    """Return the number of the key, 0 for a missing key."""
    for name, number in numbers:
        if name == key:
            return number
    return 0


def set_number(numbers: NumberMap, key: str, number: Number) -> NumberMap:
    """Return the map with the number set for the key; 0 removes the key."""
    others = [pair for pair in numbers if pair[0] != key]
    if number != 0:
        others.append((key, number))
    return tuple(sorted(others))


def raise_number(numbers: NumberMap, key: str, number: Number) -> NumberMap:
    """Return the map with the number of the key raised to at least the given one."""
    return set_number(numbers, key, max(number, get_number(numbers, key)))


def add_number(numbers: NumberMap, key: str, number: Number) -> NumberMap:
    """Return the map with the given number added to that of the key."""
    return set_number(numbers, key, get_number(numbers, key) + number)


def sum_numbers(numbers: NumberMap) -> int:
    """Return the sum of all numbers."""
    return int(sum(number for _, number in numbers))
