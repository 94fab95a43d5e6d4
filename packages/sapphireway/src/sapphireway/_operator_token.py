"""Access to the operator's token."""

from collections.abc import Callable

from sapphireway_state import Problem, read_token


def make_token_reader(
    path: str | None, log_event: Callable[..., None]
) -> Callable[[], str | None]:
    """Return a function that reads the token file at each call.

    The token can thus be replaced without a restart.

    Parameters
    ----------
    path : str or None
        Token file; without one no change is authorized.
    log_event : callable
        Takes an event name and the event's fields as keywords.
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
