"""Stand-ins for the platform's services and for targets, for tests and demos."""

__all__: list[str] = []
