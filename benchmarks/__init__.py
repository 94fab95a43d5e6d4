"""Measurements of sapphireway; ``python -m benchmarks`` runs all of them."""
