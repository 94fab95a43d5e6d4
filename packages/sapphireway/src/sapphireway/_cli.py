"""Command line of the node."""


def main():
    """Run the command that the arguments name."""
