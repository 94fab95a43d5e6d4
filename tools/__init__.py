"""Generators of documentation pages."""
