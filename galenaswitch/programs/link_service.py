"""Service that opens and accepts the links between the VMs' processes."""

import os
import secrets
from collections import Counter

from galenaswitch.gateway.vocabulary import VOCABULARY
from galenaswitch.membership.handshake import Identity
from galenaswitch.membership.links import LinkService
from galenaswitch.platform.settings import VmSettings

SECRET_VARIABLE = 'GALENA_PEER_SECRET'


def make_link_service(settings: VmSettings) -> LinkService:
    """Return the link service of a VM, which has no handlers yet.

    The secret that the VMs share comes from the environment.
    """
    identity = Identity(
        settings.node, settings.zone, 'edge', secrets.token_hex(4)
    )
    return LinkService(
        identity,
        os.environ.get(SECRET_VARIABLE, ''),
        VOCABULARY,
        {},
        address=settings.address,
        traffic=Counter(),
        last_received_at={},
    )
