"""Tail latency of the real core, over fake targets in virtual time."""
