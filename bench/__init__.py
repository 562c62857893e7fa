"""Measurements that run outside CI."""
