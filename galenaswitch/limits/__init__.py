"""Contract limits on rates, requests in progress and cost of workspaces."""
