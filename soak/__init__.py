"""A randomized fault-injection soak test against real processes.

One seed determines one schedule of faults::

    make soak SEED=7

Each host runs as a separate process on a loopback address of this machine.
The stand-ins for the store, the targets and the callers run in the soak's own
process. Connections from callers, between hosts, to the store and to targets
pass through proxies that can delay, reset, truncate or drop traffic. What
callers and targets observe is recorded, and checked against the guarantees of
the system (``soak.promises``) after the run.
"""
