"""Load commands to model engines under a lease with a fencing token."""
