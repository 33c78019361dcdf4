"""Command-line programs, each of which connects components of the system."""
