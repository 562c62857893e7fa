"""Cost of each role by size of the fleet, for docs/CAPACITY.md."""
