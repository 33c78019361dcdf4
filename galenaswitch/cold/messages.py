"""Messages between VMs about the rates of cold targets."""

from typing import NamedTuple


class GrantQuery(NamedTuple):
    """Asks a VM to lend its part of the rates of a service's cold targets."""

    service: str


class GrantReply(NamedTuple):
    """Tells whether the part is lent to the VM that has asked.

    :param is_lent: whether it is, for a second from the query on.
    """

    is_lent: bool
