"""Experiments on queries over many shards, with real hosts on loopback."""
