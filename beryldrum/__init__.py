"""beryldrum: overload control for service call graphs.

A node runs beside each target. Together the nodes route, admit, limit and retry
requests, so that requests are answered within their deadlines, organisations get fair
shares under overload, and no request runs twice or is lost without an error. See
``docs/ARCHITECTURE.md`` for an overview.
"""

from .errors import BeryldrumError

__all__ = ["BeryldrumError", "__version__"]

__version__ = "0.1.0"
