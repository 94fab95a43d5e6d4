"""The node: HTTP entry for callers, gate of a local server, and control role."""

__all__ = ["__version__"]

__version__ = "0.1.0"
