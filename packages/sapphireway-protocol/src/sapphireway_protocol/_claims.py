"""Messages between holders of idempotency claims."""

MESSAGES = ()
