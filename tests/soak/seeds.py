"""Seeds that once violated a guarantee, with the cause; never remove any."""

REGRESSIONS: dict[int, str] = {}
