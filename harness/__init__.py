"""Runs a fleet of processes on loopback, for the demo, the benchmarks and tests."""

__all__: list[str] = []
