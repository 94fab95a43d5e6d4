"""Command line of the soak test."""

import sys

import defopt

from tests.soak.runner import run_seeds

if __name__ == "__main__":
    sys.exit(defopt.run(run_seeds))
