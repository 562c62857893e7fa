"""Experiments on configuration and membership, mostly in virtual time."""
