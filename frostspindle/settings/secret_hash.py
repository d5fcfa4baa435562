"""Secrets in a version: salted hashes (PBKDF2) or references, never the password itself."""

from __future__ import annotations

import hashlib
import hmac
import re

SECRET_FORM = re.compile(r"pbkdf2:\d{4,7}:[0-9a-f]{16,64}:[0-9a-f]{64}|env:[A-Z][A-Z0-9_]{0,63}|file:/[^\0\n]{1,200}")


def hash_secret(password: str, salt: bytes, rounds: int = 100_000) -> str:
    """Return the salted hash (PBKDF2, SHA-256) of a password, in the form that a version accepts."""
    digest = hashlib.pbkdf2_hmac("sha256", password.encode(), salt, rounds)
    return f"pbkdf2:{rounds}:{salt.hex()}:{digest.hex()}"


def verify_secret(secret: str, password: str) -> bool:
    """Whether a password matches a hash, compared in constant time.

    False for references, which are resolved elsewhere.
    """
    form, _, parameters = secret.partition(":")
    if form != "pbkdf2" or parameters.count(":") != 2:
        return False
    rounds, salt, _ = parameters.split(":")
    return hmac.compare_digest(hash_secret(password, bytes.fromhex(salt), int(rounds)), secret)
