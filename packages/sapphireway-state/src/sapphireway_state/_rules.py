"""Validation rules for single settings values."""

import difflib
import ipaddress
import math
import re
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
NAME_ALLOWED = "1 to 128 of A-Z a-z 0-9 . _ : -, beginning with a letter or digit"
VALUE_MAX_CHARACTERS = 60


class Rule(msgspec.Struct, frozen=True):
    """Type and bounds of one value.

    Attributes
    ----------
    type_name : str
        Name of the type in messages.
    allowed : str
        Type, bounds and unit, as text for messages.
    has_type : callable
        Returns whether a value has the type.
    in_bounds : callable
        Returns whether a value of the type is within the bounds.
    """

    type_name: str
    allowed: str
    has_type: Callable[[Any], bool]
    in_bounds: Callable[[Any], bool]


def find_violation(rule: Rule, value: Any) -> str | None:
    """Return how `value` violates the rule, or None if it does not."""
    if not rule.has_type(value):
        article = "an" if rule.type_name[0] in "aeiou" else "a"
        return f"{format_value(value)} is not {article} {rule.type_name}"
    if not rule.in_bounds(value):
        is_numeric = rule.type_name in ("integer", "number")
        return (
            f"{format_value(value)} is {'out of bounds' if is_numeric else 'not valid'}"
        )
    return None


def format_value(value: Any) -> str:
    """Return a short form of a value for messages."""
    if isinstance(value, dict):
        return "a mapping"
    text = repr(value)
    if len(text) > VALUE_MAX_CHARACTERS:
        return text[:VALUE_MAX_CHARACTERS] + "..."
    return text


def suggest_name(key: Any, names: Iterable[str]) -> str:
    """Return a hint that names the known key closest to a misspelt one, if any."""
    close = difflib.get_close_matches(str(key), list(names), n=1)
    return f" (did you mean {close[0]!r}?)" if close else ""


def make_integer(minimum: int, maximum: int, unit: str = "") -> Rule:
    """Return the rule for an integer within inclusive bounds."""
    return Rule(
        "integer",
        f"integer {minimum} to {maximum} {unit}".rstrip(),
        lambda value: type(value) is int,
        lambda value: minimum <= value <= maximum,
    )


def make_number(minimum: float, maximum: float, unit: str = "") -> Rule:
    """Return the rule for a finite number within inclusive bounds."""
    return Rule(
        "number",
        f"number {minimum:g} to {maximum:g} {unit}".rstrip(),
        lambda value: type(value) in (int, float) and math.isfinite(value),
        lambda value: minimum <= value <= maximum,
    )


def make_boolean() -> Rule:
    """Return the rule for a boolean."""
    return Rule(
        "boolean",
        "true or false",
        lambda value: type(value) is bool,
        lambda value: True,
    )


def make_choice(choices: Sequence[str]) -> Rule:
    """Return the rule for a string out of a fixed set."""
    return Rule(
        "string",
        "one of " + ", ".join(choices),
        lambda value: type(value) is str,
        lambda value: value in choices,
    )


def make_pattern(pattern: str, allowed: str) -> Rule:
    """Return the rule for a string that fully matches a regular expression."""
    compiled = re.compile(pattern)
    return Rule(
        "string",
        allowed,
        lambda value: type(value) is str,
        lambda value: compiled.fullmatch(value) is not None,
    )


def make_name() -> Rule:
    """Return the rule for the name of a domain, service, kind or server."""
    return make_pattern(NAME_PATTERN.pattern, NAME_ALLOWED)


def make_address() -> Rule:
    """Return the rule for ``host:port`` with an IP address as the host."""
    return Rule(
        "string",
        "IP number and port, such as 127.0.0.1:7000 or [::1]:7000, port 1 to 65535",
        lambda value: type(value) is str,
        _is_address,
    )


def make_list(item: Rule, minimum: int, maximum: int) -> Rule:
    """Return the rule for a list of distinct items that each satisfy `item`."""
    return Rule(
        "list",
        f"list of {minimum} to {maximum} different values, each: {item.allowed}",
        lambda value: type(value) is list and all(map(item.has_type, value)),
        lambda value: (
            minimum <= len(value) <= maximum
            and all(map(item.in_bounds, value))
            and len(set(value)) == len(value)
        ),
    )


def _is_address(value):
    host, separator, port = value.rpartition(":")
    if not separator or not re.fullmatch("[0-9]{1,5}", port):
        return False
    if not 1 <= int(port) <= 65_535:
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    return (address.version == 6) == bracketed
