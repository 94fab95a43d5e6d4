"""Messages between nodes that follow the settings tree."""

MESSAGES = ()
