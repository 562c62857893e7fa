"""Experiments on the order in which organisations are served."""
