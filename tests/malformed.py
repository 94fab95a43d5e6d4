"""Hypothesis strategies for content that other writers send."""

import json
import os

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

NESTED_DEEPLY = 10_000  # beyond the recursion limit, within the limits of size
HUGE = 10**30

# Without it, runs repeat the same examples. Times the examples of a run, drawn anew.
MORE_EXAMPLES = int(os.environ.get("SAPPHIREWAY_EXAMPLES", "0"))

ODD_SCALARS = (
    None,
    True,
    "",
    " ",
    "x" * 300,
    "\r\nX-Injected: 1",
    "10.128.0.9:99999",
    "10.128.0.9:0",
    "10.128.0.9:-1",
    "[::1",
    "1e3ms",
    "99999999999s",
    0,
    -1,
    2**31,
    2**53,
    2**63 - 1,
    2**64 - 1,
    1.5,
    1e300,
    [],
    {},
)
ODD_JSON = (*ODD_SCALARS, HUGE, 10**400)


def make_settings(examples):
    """Return the settings of a property test.

    Parameters
    ----------
    examples : int
        Number of examples in a run that repeats the last one.
    """
    return settings(
        derandomize=not MORE_EXAMPLES,
        max_examples=examples * max(1, MORE_EXAMPLES),
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )


def replace_part(document, values):
    """Return a strategy of copies of a document in which one part is replaced.

    Parameters
    ----------
    document : dict or list
    values : strategy
    """
    paths = list(_list_paths(document))
    return st.builds(
        lambda path, value, drop: _replace(document, path, value, drop),
        st.sampled_from(paths),
        values,
        st.booleans(),
    )


def _list_paths(document):
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    else:
        return
    for key, value in items:
        yield (key,)
        for path in _list_paths(value):
            yield (key, *path)


def _replace(document, path, value, drop):
    copy = document.copy()
    key, *rest = path
    if rest:
        copy[key] = _replace(document[key], rest, value, drop)
    elif drop:
        del copy[key]
    else:
        copy[key] = value
    return copy


def _spoil(content):
    """Return a strategy of bytes that are near to valid content, or far from it."""
    return st.one_of(
        st.binary(max_size=64),
        st.integers(0, len(content)).map(lambda end: content[:end]),
        st.tuples(st.integers(0, max(0, len(content) - 1)), st.integers(1, 255)).map(
            lambda flip: flip_byte(content, *flip)
        ),
    )


def flip_byte(content, offset, mask):
    """Return content with some bits of one byte flipped."""
    if not content:
        return content
    flipped = content[offset] ^ mask
    return content[:offset] + bytes([flipped]) + content[offset + 1 :]


def make_odd_json(document):
    """Return a strategy of bytes instead of a valid JSON document."""
    content = json.dumps(document).encode()
    nested = b"[" * NESTED_DEEPLY
    name = json.dumps(next(iter(document))).encode() if document else b'"x"'
    return st.one_of(
        _spoil(content),
        st.sampled_from(
            [nested, b"{%s:%s" % (name, nested), b'{"other":' * NESTED_DEEPLY]
        ),
        replace_part(document, st.sampled_from(ODD_JSON)).map(
            lambda odd: json.dumps(odd).encode()
        ),
    )


def make_odd_msgpack(value):
    """Return a strategy of bytes instead of an encoded value."""
    content = msgspec.msgpack.encode(value)
    document = msgspec.msgpack.decode(content)
    odd = [_spoil(content), st.sampled_from([b"\x91" * NESTED_DEEPLY, b""])]
    if isinstance(document, dict | list) and document:
        odd.append(
            replace_part(document, st.sampled_from(ODD_SCALARS)).map(
                msgspec.msgpack.encode
            )
        )
    return st.one_of(odd)
