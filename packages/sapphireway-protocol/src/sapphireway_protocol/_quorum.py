"""Messages between control hosts that replicate the settings journal."""

MESSAGES = ()
