"""Tools that the Makefile runs."""
