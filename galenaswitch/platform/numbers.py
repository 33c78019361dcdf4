"""Numbers in headers; a malformed one counts as absent."""

# Longest decimal number that is read. Every such number is an exact float.
MAX_DIGITS = 15


def is_number(field: str) -> bool:
    """Tell whether a field is an integer that isn't negative."""
    return field.isdecimal() and len(field) <= MAX_DIGITS


def read_decimal(field: str) -> float | None:
    """Decode a decimal number that isn't negative, ``None`` if malformed.

    >>> read_decimal('1.5'), read_decimal('nan'), read_decimal('')
    (1.5, None, None)
    """
    whole, _, fraction = field.strip().partition('.')
    is_decimal = whole.isdecimal() and (fraction or '0').isdecimal()
    return float(field) if is_decimal and field.isascii() else None


def read_integers(field: str) -> tuple[int, ...]:
    """Decode a comma-separated list of integers, empty when one is malformed.

    >>> read_integers('2, 0,1'), read_integers('x')
    ((2, 0, 1), ())
    """
    numbers = [number.strip() for number in field.split(',')]
    if all(map(is_number, numbers)):
        return tuple(map(int, numbers))
    return ()
