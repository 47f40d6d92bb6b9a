"""TLS contexts for the callers' listener and for connections between nodes."""

import ssl

from .errors import CertificateError
from .settings import Tls

__all__ = ["client_context", "reload", "server_context"]


def reload(context: ssl.SSLContext, tls: Tls) -> None:
    """Reload the certificate files into ``context``; raises CertificateError.

    Established connections continue; new ones present the new certificate.
    """
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        if tls.authority:
            context.load_verify_locations(tls.authority)
    except (OSError, ssl.SSLError) as exc:
        raise CertificateError(f"{tls.certificate}: {exc}") from exc


def server_context(tls: Tls) -> ssl.SSLContext | None:
    """Return the context of a listener, or None if TLS is off; raises CertificateError.

    If an authority is configured, clients must present a certificate too.
    """
    if not tls.certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    reload(context, tls)
    if tls.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(tls: Tls) -> ssl.SSLContext | None:
    """Return the context for connections to other nodes, or None if TLS is off.

    Raises CertificateError.
    """
    if not tls.certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    reload(context, tls)
    return context
