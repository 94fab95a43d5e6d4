"""Command line of the operator."""


def main():
    """Run the command that the arguments name."""
