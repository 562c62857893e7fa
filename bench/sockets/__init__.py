"""Measurements of the real daemons over loopback sockets.

A :class:`~bench.sockets.fleet.Fleet` runs the store, the host list, the
targets and four hosts; :func:`~bench.sockets.load.run_load` sends queries to
them at a set rate, whether or not earlier ones have been answered.
"""
