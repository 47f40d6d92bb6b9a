"""Adapter to the platform that the mesh is deployed on: its headers, formats and calls.

The modules implement interfaces of ``beryldrum.mesh`` and decode wire formats into the
types of that package. All decisions are made there.
"""
