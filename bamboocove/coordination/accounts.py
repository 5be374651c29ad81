"""Authentication of requests by the key of a client account.

No node keeps a key: configurations hold the digests of keys, and a request is matched
by the digest of the key that it carries.
"""

from collections.abc import Mapping, Sequence
from hashlib import sha256

from attrs import define, field

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.mesh import ClientAccount

# Hexadecimal digits of a digest: 128 bits, for which two keys never agree by chance.
DIGEST_DIGITS = 32


def digest_key(key: bytes) -> str:
    """Return the digest by which the key of a client account is known.

    Examples
    --------
    >>> digest_key(b"k1") == digest_key(b"k1"), len(digest_key(b"k1"))
    (True, 32)
    """
    return sha256(key).hexdigest()[:DIGEST_DIGITS]


@define
class AccountTable:
    """The client accounts of a configuration, by the digests of their keys.

    Parameters
    ----------
    accounts_by_name : mapping of str to ClientAccount
        All accounts; without any, requests need no key.
    """

    accounts_by_name: Mapping[str, ClientAccount] = field(factory=dict)
    _accounts_by_digest: dict[str, ClientAccount] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._accounts_by_digest = {
            digest: account
            for account in self.accounts_by_name.values()
            for digest in account.key_digests
        }

    def authenticate(
        self, is_anonymous: bool, keys: Sequence[bytes]
    ) -> ClientAccount | None | ErrorResult:
        """Return the account that a request belongs to.

        Parameters
        ----------
        is_anonymous : bool
            Whether the route of the request needs no key.
        keys : sequence of bytes
            Values of the header field that holds the key.

        Returns
        -------
        account : ClientAccount or None or ErrorResult
            None if the request needs no key; ``UNAUTHENTICATED`` unless it has exactly
            one, of a known account.
        """
        if is_anonymous or not self.accounts_by_name:
            return None
        if len(keys) != 1:
            reason = (
                "the request has several keys" if keys else "the request has no key"
            )
            return ErrorResult(ErrorKind.UNAUTHENTICATED, reason)
        return self.find(digest_key(keys[0]))

    def find(self, digest: str) -> ClientAccount | ErrorResult:
        """Return the account that has a key with a digest, or ``UNAUTHENTICATED``."""
        account = self._accounts_by_digest.get(digest)
        if account is None:
            return ErrorResult(ErrorKind.UNAUTHENTICATED, "no account has this key")
        return account
