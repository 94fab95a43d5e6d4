"""Messages between nodes that share digests of requests that crash servers."""

MESSAGES = ()
