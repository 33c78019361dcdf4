"""Handshake of links: both ends prove that they know the shared secret.

Each end sends a nonce and then an HMAC-SHA256 over both nonces and its own
identity.
"""

import hmac
from typing import NamedTuple

from galenaswitch.membership.frames import Vocabulary


class Identity(NamedTuple):
    """Identifies the process at one end of a link.

    :param node: name of the VM that the process runs on.
    :param zone: availability zone of that VM.
    :param role: program of the process: ``edge``, ``entry``, ``control`` or
        ``admin``.
    :param incarnation: random id that changes when the process restarts.
    """

    node: str
    zone: str
    role: str
    incarnation: str


class Hello(NamedTuple):
    """First handshake message in each direction: identity and nonce."""

    identity: Identity
    nonce: bytes


class Proof(NamedTuple):
    """Second handshake message in each direction.

    :param mac: HMAC over both nonces and the sender's identity.
    """

    mac: bytes


HANDSHAKE_VOCABULARY = Vocabulary(Hello, Proof)


def compute_hmac(
    secret: str, sender: Identity, receiver_nonce: bytes, sender_nonce: bytes
) -> bytes:
    """Return the proof of one end of a link.

    :param secret: secret that all processes share.
    """
    text = '/'.join(sender).encode()
    return hmac.digest(
        secret.encode(), receiver_nonce + sender_nonce + text, 'sha256'
    )
