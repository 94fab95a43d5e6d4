"""Runs all measurements and prints their tables."""

from benchmarks import policy

if __name__ == "__main__":
    policy.main()
