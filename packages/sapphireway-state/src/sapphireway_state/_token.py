"""Reads the operator's token from a file that only its owner may read."""

import os
import stat

from sapphireway_state._problems import Problem

TOKEN_MIN_CHARACTERS = 16
TOKEN_MAX_CHARACTERS = 1_024


def read_token(path: str) -> str | Problem:
    """Return the token in a file of mode 0600 or stricter."""
    try:
        with open(path, encoding="ascii") as source:
            mode = os.fstat(source.fileno()).st_mode
            text = source.read(TOKEN_MAX_CHARACTERS + 1).strip()
    except (OSError, UnicodeDecodeError) as error:
        return Problem("token_file", f"cannot be read: {error}", "a readable text file")
    if not stat.S_ISREG(mode) or stat.S_IMODE(mode) & 0o077:
        shown = f"{stat.S_IMODE(mode):04o}"
        return Problem("token_file", f"has mode {shown}", "a regular file, mode 0600")
    if not TOKEN_MIN_CHARACTERS <= len(text) <= TOKEN_MAX_CHARACTERS:
        allowed = f"{TOKEN_MIN_CHARACTERS} to {TOKEN_MAX_CHARACTERS} characters"
        return Problem("token_file", f"holds {len(text)} characters", allowed)
    return text
