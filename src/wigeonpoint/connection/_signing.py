"""Signed, opaque tokens for values that callers hold."""

from __future__ import annotations

import base64
import binascii
import hmac
from collections.abc import Mapping
from hashlib import sha256
from typing import Any

import orjson


class TokenSigner:
    """Encodes JSON values as text signed with a secret key (HMAC-SHA-256, RFC 2104).

    Args:
        keys: Secret keys by key id; text signed by any of them verifies.
        active: Id of the key that signs.
        purpose: Name of the use; text of one purpose does not verify for another.
    """

    def __init__(self, keys: Mapping[str, str], active: str, *, purpose: str) -> None:
        self._keys = {key_id: key.encode() for key_id, key in keys.items()}
        self._active = active
        self._purpose = purpose

    def encode(self, value: Any) -> str:
        """Encodes a value as key id, payload and signature, separated by dots."""
        payload = _to_text(orjson.dumps(value))
        return f"{self._active}.{payload}.{self._sign(self._active, payload)}"

    def decode(self, text: str) -> Any:
        """Verifies a text and decodes its value.

        Raises:
            ValueError: The text does not verify.
        """
        try:
            key_id, payload, signature = text.split(".")
            expected = self._sign(key_id, payload)
            if not hmac.compare_digest(signature.encode(), expected.encode()):
                raise ValueError("the signature does not match")
            return orjson.loads(_from_text(payload))
        except (KeyError, binascii.Error) as error:
            raise ValueError("the text does not verify") from error

    def _sign(self, key_id: str, payload: str) -> str:
        message = f"{self._purpose}.{key_id}.{payload}".encode()
        return _to_text(hmac.digest(self._keys[key_id], message, sha256))


def _to_text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _from_text(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
