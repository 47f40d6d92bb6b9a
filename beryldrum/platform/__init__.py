"""The adapter to the users' platform: its names, formats and calls.

Nothing here decides. Each module implements an interface of ``beryldrum.mesh``
and decodes what is on the wire into that package's types.
"""
