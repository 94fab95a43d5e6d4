"""Assertions that stop the process when its state is inconsistent."""


class InvariantError(Exception):
    """An internal invariant was violated."""


def check_invariant(holds: bool, detail: str) -> None:
    """Raise `InvariantError` with `detail` unless `holds`."""
    if not holds:
        raise InvariantError(detail)
