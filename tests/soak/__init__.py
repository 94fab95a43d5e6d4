"""Randomised faults against real processes, and the promises that must hold.

Run it with ``python -m tests.soak`` or ``make soak``. Faults come from outside the
programs: signals, a loopback proxy in front of entries and servers, limits on what a
process may write, orders of operators. They come in series and overlap.
"""
