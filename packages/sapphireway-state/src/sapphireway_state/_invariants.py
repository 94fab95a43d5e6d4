"""Assertions that stop the process when it can no longer be trusted."""


class InvariantError(Exception):
    """A fact that must always hold does not."""


def check_invariant(holds: bool, detail: str) -> None:
    """Raise `InvariantError` with `detail` unless `holds`."""
    if not holds:
        raise InvariantError(detail)
