"""The daemon: filters, controllers and adapters around the core."""

from almonddock_daemon._clock import MonotonicClock

__all__ = ['MonotonicClock']
