"""Numbers of the platform that stay in order when it comes back from an older copy.

The platform's counter goes back then and gives its numbers out again, and its era
rises by one. Era and number together, as one integer, never go back::

    >>> ordered(era=1, number=480) > ordered(era=0, number=500)
    True
"""

# Numbers are below 2 ** ERA_SHIFT: enough for a million changes a second for years.
ERA_SHIFT = 48


def ordered(era: int, number: int) -> int:
    """Return one integer for a number of an era."""
    return (era << ERA_SHIFT) + number


def era_and_number(value: int) -> tuple[int, int]:
    """Return the era and the number of an integer from `ordered`."""
    return divmod(value, 1 << ERA_SHIFT)
