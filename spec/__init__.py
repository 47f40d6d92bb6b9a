"""Models of the core protocols, checked over their whole state space.

The transitions call beryldrum's own code for its decisions. Each model comes with
mutants that the checker must refute: a property that holds with the fault too does not
verify the mechanism.
"""

__all__: list[str] = []
