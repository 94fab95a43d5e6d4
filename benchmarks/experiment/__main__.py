"""Command line of the experiment tool."""

import defopt

from benchmarks.experiment import main

if __name__ == "__main__":
    defopt.run(main)
