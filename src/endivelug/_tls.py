"""Creation of TLS contexts from settings."""

import ssl

from endivelug.settings import LinkSettings


def server_context(certificate: str, key: str, ca: str = "") -> ssl.SSLContext | None:
    """Return a server context, or None if there is no certificate.

    Parameters
    ----------
    certificate, key : str
        Paths of PEM files.
    ca : str
        Path of the CA certificates that must have signed the client certificates. If
        empty, clients need no certificate.
    """
    if not certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=ca or None)
    context.load_cert_chain(certificate, key or None)
    if ca:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(ca: str) -> ssl.SSLContext | None:
    """Return a client context that trusts a CA file, or None for the default CAs."""
    return ssl.create_default_context(cafile=ca) if ca else None


def link_contexts(
    settings: LinkSettings,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return the server and client contexts of the links between processes.

    Both sides present a certificate signed by the CA of the deployment.
    """
    if not settings.tls_certificate:
        return None, None
    server = server_context(settings.tls_certificate, settings.tls_key, settings.tls_ca)
    client = ssl.create_default_context(cafile=settings.tls_ca or None)
    # VMs are addressed by IP address and may be replaced at any time, so peers are
    # authenticated by the CA and the link secret instead of the host name.
    client.check_hostname = False
    client.load_cert_chain(settings.tls_certificate, settings.tls_key or None)
    return server, client
