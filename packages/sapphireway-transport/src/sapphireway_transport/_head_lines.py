"""Lines of the head of an answer, as RFC 9110 and RFC 9112 define them.

Whoever reads an answer uses these functions, so that no two readers of one head differ.
"""

import re

import msgspec

from sapphireway_transport._server import STATUS_MAX, STATUS_MIN

# RFC 9112, section 4. Many servers leave out the blank before an empty reason.
_STATUS_LINE = re.compile(
    r"HTTP/1\.[01] (\d{3})(?: [\t\x20-\x7e\x80-\xff]*)?", re.ASCII
)
# RFC 9110, sections 5.6.2 and 5.5. A value may hold tabs and bytes above 0x7f.
_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_FIELD_LINE = re.compile(f"({_NAME.pattern}):({_VALUE.pattern})")
NAME_SHOWN_MAX = 40  # characters of a name that a detail repeats


class Malformed(msgspec.Struct, frozen=True):
    """A line that the head of an answer can't have.

    Attributes
    ----------
    detail : str
        One line for humans. It repeats no value, which may be a secret.
    """

    detail: str


def decode_line(line: bytes) -> str:
    """Return a line of a head without its end, which is CR LF or LF alone."""
    return line.decode("latin-1").removesuffix("\n").removesuffix("\r")


def read_status_line(line: str) -> int | Malformed:
    """Return the status of a status line without its end."""
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        return Malformed("no status line of HTTP/1.0 or 1.1")
    status = int(match[1])
    if not STATUS_MIN <= status <= STATUS_MAX:
        return Malformed(f"status {match[1]} is none of HTTP")
    return status


def read_field_line(line: str) -> tuple[str, str] | Malformed:
    """Return name and value of a field line.

    Parameters
    ----------
    line : str
        Without its end. A line that continues the one before is malformed.
    """
    match = _FIELD_LINE.fullmatch(line)
    if match is not None:
        return match[1], match[2].strip(" \t")
    name, colon, value = line.partition(":")
    if not colon:
        return Malformed("a field line without a colon")
    return Malformed(find_field_fault(name, value))


def find_field_fault(name: str, value: str) -> str:
    """Return what is malformed in a field, or ""."""
    if not _NAME.fullmatch(name):
        return _describe_name(name)
    if not _VALUE.fullmatch(value):
        character = value[_VALUE.match(value).end()]
        return f"{ord(character):#04x} in the value of {name[:NAME_SHOWN_MAX]}"
    return ""


def _describe_name(name):
    if not name:
        return "an empty field name"
    match = _NAME.match(name)
    begin = match[0] if match else ""
    character = name[len(begin)]
    return f"{ord(character):#04x} in a field name, after {begin[:NAME_SHOWN_MAX]!r}"
