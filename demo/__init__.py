"""Stand-in servers and the demonstration."""
