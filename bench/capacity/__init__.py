"""Slopes for docs/CAPACITY.md: state and time of each role by size."""
