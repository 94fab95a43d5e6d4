"""Reads the operator's token whenever it is needed."""

from collections.abc import Callable

from sapphireway_state import Problem, read_token


def make_token_reader(
    path: str | None, log_event: Callable[..., None]
) -> Callable[[], str | None]:
    """Return a function that reads the token anew, so that it can be replaced.

    Parameters
    ----------
    path : str or None
        Token file; without one nobody has the right to change anything.
    log_event : callable
        Takes an event name and its fields as keywords.
    """

    def read():
        if path is None:
            return None
        token = read_token(path)
        if isinstance(token, Problem):
            log_event("operator_token_refused", file=path, detail=token.wrong)
            return None
        return token

    return read
