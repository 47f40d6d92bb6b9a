"""Small specifications of the core protocols, checked exhaustively.

Their transitions call the product's own decisions. Each comes with mutants that
the checker must refute: a specification that no fault can break proves nothing.
"""

__all__: list[str] = []
