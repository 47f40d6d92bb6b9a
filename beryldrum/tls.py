"""TLS contexts for the listener towards callers and between nodes."""

import ssl

from .errors import CertificateError
from .settings import Tls

__all__ = ["client_context", "reload", "server_context"]


def reload(context: ssl.SSLContext, tls: Tls) -> None:
    """Load the certificate files into ``context`` anew; raises CertificateError.

    Connections that are open go on; new ones show the new certificate.
    """
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        if tls.authority:
            context.load_verify_locations(tls.authority)
    except (OSError, ssl.SSLError) as exc:
        raise CertificateError(f"{tls.certificate}: {exc}") from exc


def server_context(tls: Tls) -> ssl.SSLContext | None:
    """Return the context of a listener, or None where TLS is off.

    With an authority, the other side must show a certificate too.
    """
    if not tls.certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    reload(context, tls)
    if tls.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(tls: Tls) -> ssl.SSLContext | None:
    """Return the context of this node's connections to others, or None."""
    if not tls.certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    reload(context, tls)
    return context
