"""Quarantine of prompt parts whose requests end the targets they run on."""
