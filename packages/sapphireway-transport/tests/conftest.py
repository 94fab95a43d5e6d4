"""Fixtures of all tests of the transport."""

import gc

import pytest


@pytest.fixture(autouse=True)
def collect_connections():
    """Collect the connections that a test left open, while pytest reports them.

    In CPython 3.11, a finalizer that raises inside of the compiler, such as at an
    import after the last test, ends the run with a SystemError.
    """
    yield
    gc.collect()
