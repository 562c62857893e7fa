"""Tail latency of the real core over small fakes in virtual time."""
