"""Command-line client for operators of sapphireway."""

__all__ = ["__version__"]

__version__ = "0.1.0"
