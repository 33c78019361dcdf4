"""Checked fields of the documents in the store."""

from typing import Any

# Longest zone, service or version. All are passed on between VMs, and versions
# are recorded in the store.
MAX_TEXT_LENGTH = 256
# Largest number that all encodings on the way take.
MAX_NUMBER = 0x7FFFFFFFFFFFFFFF
Document = dict[str, Any]


def read_text(document: Document, name: str) -> str:
    """Return a text field.

    :raises KeyError: when the field is missing.
    :raises TypeError: when it is no text.
    :raises ValueError: when the text is too long.
    """
    text: str = check_type(document[name], str)
    if len(text) > MAX_TEXT_LENGTH:
        raise ValueError(f'{name} has {len(text)} characters')
    return text


def read_number(document: Document, name: str) -> int:
    """Return an integer field that isn't negative, 0 when it is missing.

    :raises TypeError: when it is no integer.
    :raises ValueError: when it is out of range.
    """
    return check_range(document.get(name, 0), 0, MAX_NUMBER)


def check_range(field: Any, lowest: int, highest: int) -> int:
    """Return a field that is an integer within a range.

    :raises TypeError: when it is no integer.
    :raises ValueError: when it is out of range.
    """
    number: int = check_type(field, int)
    if not lowest <= number <= highest:
        raise ValueError(f'{number} is not within {lowest} to {highest}')
    return number


def check_type(field: Any, kind: type[Any]) -> Any:
    """Return a field of a type; a truth value is no number.

    :raises TypeError: when it is of another type.
    """
    if not isinstance(field, kind) or isinstance(field, bool):
        raise TypeError(f'{field!r} is not of type {kind.__name__}')
    return field
