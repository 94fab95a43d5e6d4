"""Command line of the soak."""

import sys

import defopt

from tests.soak.play import play_seeds

if __name__ == "__main__":
    sys.exit(defopt.run(play_seeds))
