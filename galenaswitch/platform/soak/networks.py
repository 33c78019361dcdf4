"""Networks of loopback addresses, each used by one soak at a time.

A lock on a file in the temporary folder keeps all test runs on this machine
apart. The processes of a soak inherit it, so that a run which is killed doesn't
free the addresses of processes that it leaves behind.
"""

import fcntl
import tempfile
from pathlib import Path

# Second numbers of the loopback addresses 127.NETWORK.x.y. The lower ones are
# left to servers outside the tests.
FIRST_NETWORK, LAST_NETWORK = 20, 250


class NoFreeNetworkError(Exception):
    """All networks are in use."""


class Network:
    """Network that is locked until it is released.

    :ivar number: second number of its addresses.
    """

    def __init__(self, first: int, folder: Path | None = None) -> None:
        """Lock the first network that is free.

        :param first: number that is tried first, the next ones after it.
        :param folder: folder of the lock files.
        :raises NoFreeNetworkError: when all networks are in use.
        """
        self._folder = folder or Path(tempfile.gettempdir())
        count = LAST_NETWORK - FIRST_NETWORK
        for offset in range(count):
            self.number = (
                FIRST_NETWORK + (first - FIRST_NETWORK + offset) % count
            )
            if self._lock():
                return
        raise NoFreeNetworkError

    @property
    def descriptor(self) -> int:
        """Descriptor of the lock, which processes of the network inherit."""
        return self._file.fileno()

    def make_address(self, part: int, number: int) -> str:
        """Return an address of the network."""
        return f'127.{self.number}.{part}.{number}'

    def release(self) -> None:
        """Free the network once the processes that inherited it have ended."""
        self._file.close()

    def _lock(self) -> bool:
        path = self._folder / f'galena-network-{self.number}.lock'
        # The file stays in place: a lock on a removed one would exclude nobody.
        self._file = path.open('ab')
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self._file.close()
            return False
        return True
