"""Experiments on snapshots, coverage and at-most-once."""
