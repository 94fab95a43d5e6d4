"""Command line of the node."""

import sys
from pathlib import Path

from sapphireway import __version__

EXIT_OK = 0
EXIT_INVALID = 2
EXIT_FAILED = 1


def run(file: Path) -> int:
    """Run a node until it gets SIGTERM or SIGINT, then stop gracefully.

    Parameters
    ----------
    file : Path
        The process's settings in YAML.

    Returns
    -------
    int
        0 after a graceful stop, 1 if the node couldn't start or stop gracefully,
        2 if the settings are invalid, 70 if an invariant was broken.
    """
    from sapphireway import _main

    return _main.run_process(file)


def check(file: Path) -> int:
    """Check a settings file and print all that is wrong with it.

    Parameters
    ----------
    file : Path
        A process's settings or a settings tree in YAML.

    Returns
    -------
    int
        0 if the file is valid, 2 if it isn't.
    """
    from sapphireway_state import check_file, format_problem

    problems = check_file(file)
    for problem in problems:
        print(format_problem(problem), file=sys.stderr)
    if problems:
        return EXIT_INVALID
    print(f"{file}: valid")
    return EXIT_OK


def main() -> None:
    """Run the command that the arguments name."""
    arguments = sys.argv[1:]
    if len(arguments) == 2 and arguments[0] == "run" and arguments[1][0:1] != "-":
        # The parser takes memory that a process would keep as long as it runs.
        sys.exit(run(Path(arguments[1])))
    import defopt

    sys.exit(defopt.run([run, check], version=f"sapphireway {__version__}"))
