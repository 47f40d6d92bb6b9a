"""Measurements, each printed as one JSON line. Nothing here is asserted."""

__all__: list[str] = []
