"""Messages between nodes and the membership directory."""

MESSAGES = ()
