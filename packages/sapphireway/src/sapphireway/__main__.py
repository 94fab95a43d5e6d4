"""Entry point of ``python -m sapphireway``."""

from sapphireway._cli import main

main()
