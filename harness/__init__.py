"""What the demo, the bench and the process tests share: a fleet on loopback."""

__all__: list[str] = []
