"""Command-line tools for development."""
