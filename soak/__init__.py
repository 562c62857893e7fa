"""A randomized soak: real processes, faults from outside, promises checked.

One seed gives one schedule of faults::

    make soak SEED=7

The programs run as separate processes on loopback addresses of this machine.
The stand-ins for the store, the targets and the callers live in the soak's
own process, and every connection of a host passes a proxy that can delay,
reset, cut or silence it. What callers and targets saw is kept and checked
against the promises once the run has ended.
"""
