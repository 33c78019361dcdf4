"""Randomized soak test of real processes under injected faults."""
