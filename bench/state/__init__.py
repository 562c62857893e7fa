"""Experiments on the state between hosts, in virtual time."""
