"""
Checked values from decoded JSON that others wrote.

Each function returns the value if it is of the expected type and within its bounds, and
raises ``ValueError`` otherwise. The texts of errors are bounded, and don't show nested
values, as these may be too deep to be written::

    read_integer(6.0, 1, 100)  # 6
    read_number("4", 0.0, 9.0)  # ValueError: expected a number, found the text '4'
"""

from __future__ import annotations

from typing import Any

# Largest integer up to which all JSON writers agree on a number's digits.
MAX_INTEGER = 2**53 - 1
# Largest size of a name in UTF-8; the platform's store takes no longer keys.
MAX_NAME_BYTES = 200
# Largest number of characters of a value, a key or a whole error text in an error.
MAX_VALUE_CHARACTERS = 40
MAX_ERROR_CHARACTERS = 200


def read_integer(
    value: Any, lowest: int = -MAX_INTEGER, highest: int = MAX_INTEGER
) -> int:
    """Return a number without its fraction."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, found {describe(value)}")
    # The comparison also excludes values that aren't numbers (nan).
    if not lowest <= value <= highest:
        raise ValueError(
            f"expected a number from {lowest} to {highest}, found {describe(value)}"
        )
    return int(value)


def read_number(value: Any, lowest: float = -1e15, highest: float = 1e15) -> float:
    """Return a finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, found {describe(value)}")
    if not lowest <= value <= highest:
        raise ValueError(
            f"expected a number from {lowest:g} to {highest:g}, found {describe(value)}"
        )
    return float(value)


def read_serial(value: Any) -> int:
    """Return an integer that identifies something, of up to 64 bits."""
    return read_integer(value, -(2**63), 2**64 - 1)


def read_flag(value: Any) -> bool:
    """Return a truth value."""
    if not isinstance(value, bool):
        raise ValueError(f"expected true or false, found {describe(value)}")
    return value


def read_text(value: Any) -> str:
    """Return a text with any characters."""
    if not isinstance(value, str):
        raise ValueError(f"expected a text, found {describe(value)}")
    return value


def read_name(value: Any, max_bytes: int = MAX_NAME_BYTES) -> str:
    """
    Return a text that isn't empty and can stand in a header, a datagram and a log line.

    It has neither control characters nor parts that aren't UTF-8, and neither begins
    nor ends with white space.
    """
    text = read_text(value)
    if not text or not text.isprintable() or text != text.strip():
        raise ValueError(f"expected a printable name, found {describe(value)}")
    # No character takes more than 4 bytes.
    if len(text) * 4 > max_bytes and len(text.encode()) > max_bytes:
        raise ValueError(
            f"expected at most {max_bytes} bytes, found {describe(value)} of "
            f"{len(text)} characters"
        )
    return text


def describe(value: Any) -> str:
    """Return a short text on a value for an error, without nested values."""
    if isinstance(value, str):
        return f"the text {shorten(value, MAX_VALUE_CHARACTERS)!r}"
    if isinstance(value, bool) or value is None:
        return repr(value)
    if isinstance(value, int) and abs(value) > 2**64:
        return "an integer of more than 64 bits"
    if isinstance(value, int | float):
        return repr(value)
    return f"a {type(value).__name__}"


def describe_error(error: Exception) -> str:
    """Return the type and the beginning of the text of an error."""
    return shorten(f"{type(error).__name__}: {error}")


def shorten(text: str, max_characters: int = MAX_ERROR_CHARACTERS) -> str:
    """Return the beginning of a text, with what isn't UTF-8 escaped."""
    if len(text) > max_characters:
        text = text[: max_characters - 3] + "..."
    return text.encode("utf-8", "backslashreplace").decode()
