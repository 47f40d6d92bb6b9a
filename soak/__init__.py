"""Randomised fault-injection soak test.

Runs real node processes on loopback, injects overlapping faults from outside and checks
continuously that the guarantees to callers and targets hold. ``python -m soak --seeds 7``
derives the faults from seed 7 and prints the violations found. Only processes that the
soak started are signalled.
"""
