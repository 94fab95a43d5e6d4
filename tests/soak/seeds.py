"""Seeds that broke a promise once, each with its cause; they stay for good."""

REGRESSIONS: dict[int, str] = {}
