"""Second sends beside slow responses, within a limit that operators set."""
