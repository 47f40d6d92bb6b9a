"""A node of a fleet that is configured by one document and discovers its own members.

The package has what a deployment without seed nodes, service documents or idempotency
keys needs: routes by host and path prefix, rates of an organisation over all services,
and membership through a topic of the store. The platform's names and formats are behind
abstract base classes; their implementations are in ``beryldrum/platform``.
"""
