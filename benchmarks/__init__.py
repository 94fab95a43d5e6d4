"""Measurements of the parts, on a paused clock or with real processes."""
