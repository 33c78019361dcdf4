"""Few VMs follow the store and pass on to all others what it shows."""
