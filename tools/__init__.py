"""Programs for the developers of the repository."""
