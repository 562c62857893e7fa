"""Measurements of the owner side: placement, leases, cold targets, overload."""
