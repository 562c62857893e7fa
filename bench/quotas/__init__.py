"""Experiments on quotas over all hosts, in virtual time."""
