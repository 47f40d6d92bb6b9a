"""Stand-ins for what the platform and the service teams run, for tests and demos."""

__all__: list[str] = []
