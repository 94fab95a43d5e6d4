"""Assertions of what must always hold."""


class InvariantError(AssertionError):
    """A broken invariant: the process must not go on."""


def require(condition: bool, message: str) -> None:
    """Raise `InvariantError` with `message` unless `condition` holds."""
    if not condition:
        raise InvariantError(message)
