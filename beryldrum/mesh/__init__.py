"""A node of a fleet that is stated by one document and finds its members itself.

The package holds what a deployment without seeds, service documents or
idempotency keys needs: routes by host and prefix, rates of an organisation over
all services, membership through a topic of the store. Where the platform's names
and formats come in, an abstract base class stands; see ``beryldrum/platform``.
"""
