"""Stand-ins for the systems around the tier, for development only."""
