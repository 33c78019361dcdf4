"""Mesh of a VM without peers, and the following of such a VM."""

from galenaswitch.following.following import Following


class LoneMesh:
    """Links of a VM that reaches no other."""

    def __init__(self, node, zone='z'):
        """Build the links of VM ``node``.

        :ivar spread_messages: messages that the VM sent to all others.
        """
        self.node = node
        self.zone = zone
        self.spread_messages = []

    def reachable(self):
        """Return the VM itself."""
        return (self.node,)

    def spread(self, message, source):
        """Record a message to all other VMs."""
        self.spread_messages.append(message)


def follow_alone(node, store, members, tasks):
    """Return the following of a VM that follows the store from its start."""
    return Following(
        store, LoneMesh(node), members, tasks, 'incarnation', start_seconds=0
    )
