"""A soak test: random faults against real processes, then checks of the guarantees.

Usage: ``python -m tests.soak`` or ``make soak``. All faults are injected from outside
the processes: signals, loopback proxies in front of entry nodes and servers, limits on
the size of written files, commands of operators. Several overlap at a time.
"""
