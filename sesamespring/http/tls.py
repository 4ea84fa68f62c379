"""Create TLS contexts for servers and clients."""

import ssl

__all__ = ["client_context", "server_context"]


def server_context(certificate, private_key):
    """Return the ssl.SSLContext of a server, or None without a certificate.

    Args:
        certificate: Path of the certificate chain in PEM format, or an empty string.
        private_key: Path of the certificate's private key in PEM format.

    Raises:
        OSError: The files cannot be read, or the key does not match the certificate.
    """
    if not certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, private_key)
    return context


def client_context(authorities):
    """Return the ssl.SSLContext of a client, or None without authorities.

    Args:
        authorities: Path of the trusted CA certificates in PEM format, or None.

    Raises:
        OSError: The file cannot be read.
    """
    if not authorities:
        return None
    context = ssl.create_default_context(cafile=authorities)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context
