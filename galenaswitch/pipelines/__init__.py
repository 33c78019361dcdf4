"""Runs the stages of a pipeline request under one deadline."""
