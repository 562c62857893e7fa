"""The daemon: filters, controllers and adapters around the core."""
