"""The node: entry for callers, gate of one server, and the control role."""

__all__ = ["__version__"]

__version__ = "0.1.0"
