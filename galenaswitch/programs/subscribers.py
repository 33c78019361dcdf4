"""Links of a control process to the entry processes that it serves."""

from collections.abc import Callable, Iterable
from typing import Any

from galenaswitch.errors import PeerClosedError
from galenaswitch.membership.links import Link
from galenaswitch.membership.mesh import push


class Subscribers:
    """Links to the entry processes that this control process serves."""

    def __init__(self) -> None:
        """Build the set of links, without an entry process connected."""
        self._links: set[Link] = set()
        self.digest = ''

    def add(self, link: Link, list_state: Callable[[], Iterable[Any]]) -> None:
        """Subscribe ``link`` to pushes unless it already is.

        :param list_state: returns messages that a new link gets first.
        """
        if link in self._links:
            return
        self._links.add(link)
        for message in list_state():
            push(link, message)

    @property
    def connected(self) -> bool:
        """Whether an entry process is connected."""
        return any(not link.closed for link in self._links)

    def first(self) -> Link:
        """Return the link to the machine's entry process.

        :raises PeerClosedError: when no entry process is connected.
        """
        for link in self._links:
            if not link.closed:
                return link
        raise PeerClosedError('no entry process is connected')

    def publish(self, message: Any) -> None:
        """Push a message to all entry processes; drop closed links."""
        for link in tuple(self._links):
            if link.closed:
                self._links.discard(link)
                continue
            push(link, message)
