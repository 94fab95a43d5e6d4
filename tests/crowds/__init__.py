"""Crowds of clients that hold what they can of a process, at real processes."""
