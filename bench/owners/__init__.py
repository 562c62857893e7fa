"""Measurements of the owner side: placement, cold targets and ramps."""
