"""Evacuated availability zones, whose targets get nothing."""
