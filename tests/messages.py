"""Hypothesis strategies for messages with valid types and arbitrary values."""

import math

import msgspec
from hypothesis import strategies as st

INT64_MIN, INT64_MAX = -(2**63), 2**64 - 1
TEXTS = ("", "a", "c0", "huvo11a", "x" * 300, "10.0.0.1:99999", "\0", "\u00e9")
FLOATS = (0.0, -1.0, 1e-9, 1.5, 1e300, math.inf, -math.inf, math.nan)
DEPTH_MAX = 3


def make_values(value_type, depth=0):
    """Return a strategy of values of a type that msgspec can decode.

    Parameters
    ----------
    value_type : type
    depth : int
        Number of structs that enclose the values.
    """
    return _make(msgspec.inspect.type_info(value_type), depth)


def _make(info, depth):
    inspect = msgspec.inspect
    match info:
        case inspect.StructType():
            fields = {
                field.name: _make(field.type, depth + 1)
                for field in info.fields
                if field.required or depth < DEPTH_MAX
            }
            return st.builds(info.cls, **fields)
        case inspect.UnionType():
            return st.one_of([_make(each, depth) for each in info.types])
        case inspect.ListType():
            return st.lists(_make(info.item_type, depth + 1), max_size=2)
        case inspect.VarTupleType():
            items = _make(info.item_type, depth + 1)
            return st.lists(items, max_size=2).map(tuple)
        case inspect.TupleType():
            return st.tuples(*(_make(each, depth) for each in info.item_types))
        case inspect.DictType():
            values = _make(info.value_type, depth + 1)
            return st.dictionaries(_make(info.key_type, depth), values, max_size=2)
        case inspect.EnumType():
            return st.sampled_from(list(info.cls))
        case inspect.LiteralType():
            return st.sampled_from(list(info.values))
        case inspect.IntType():
            lowest = INT64_MIN if info.ge is None else info.ge
            highest = INT64_MAX if info.le is None else info.le
            edges = [n for n in (-1, 0, 1, 2, 3, 2**53) if lowest <= n <= highest]
            return st.sampled_from([*edges, lowest, highest])
        case inspect.FloatType():
            return st.sampled_from(FLOATS)
        case inspect.StrType():
            return st.sampled_from(TEXTS)
        case inspect.BytesType():
            return st.sampled_from([b"", b"\xc1", b"\x91" * 100_000, b"\x90"])
        case inspect.BoolType():
            return st.booleans()
        case inspect.NoneType():
            return st.none()
        case inspect.AnyType() | inspect.RawType():
            return st.sampled_from([None, 1, "a", [], {}])
    raise NotImplementedError(info)
