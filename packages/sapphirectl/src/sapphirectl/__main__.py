"""Entry point of ``python -m sapphirectl``."""

from sapphirectl._cli import main

main()
