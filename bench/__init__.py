"""Benchmarks, each printing its results as JSON lines. They assert no bounds."""

__all__: list[str] = []
