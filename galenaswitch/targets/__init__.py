"""Clients of model engines, pools and plain services."""
