"""Request fingerprints that are the same on all nodes."""

import hashlib

# Length of the start of a body that is hashed.
FINGERPRINT_BODY_BYTES = 64 * 1024

# Service, method, target, and idempotency key or body digest.
Subject = tuple[str, bytes, bytes, bytes]


def make_fingerprint(subject: Subject) -> str:
    """Return the fingerprint of a request as a hexadecimal digest."""
    service, method, target, identity = subject
    parts = (service.encode(), method, target, identity)
    # Length prefixes make the encoding unambiguous.
    text = b"".join(b"%d:%b" % (len(part), part) for part in parts)
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def digest_body(data: bytes) -> bytes:
    """Return the digest of the start of a body; empty if there is no body."""
    if not data:
        return b""
    return hashlib.blake2b(data[:FINGERPRINT_BODY_BYTES], digest_size=16).digest()
