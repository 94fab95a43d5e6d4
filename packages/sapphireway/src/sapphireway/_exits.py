"""Exit statuses of the node process."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_INVARIANT = 70
