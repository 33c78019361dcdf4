"""Fakes that tests of the gateway use in place of other VMs."""


class LocalOwnerRouter:
    """Owner router that treats this machine as the owner of every service."""

    async def query(self, service, message, seconds, decide, *others):
        """Answer a query on this machine."""
        return 'me', await decide(message)

    def notify(self, owner, message, deliver):
        """Deliver a message on this machine."""
        deliver(message)

    def find_owner(self, service):
        """Return the name of this machine."""
        return 'me'
