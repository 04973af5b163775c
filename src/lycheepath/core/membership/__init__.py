"""
Membership of the hosts of a region, in the manner of the SWIM protocol.

``Membership`` in ``node`` is the entry point. It takes messages, ticks and
changes of its host and returns actions; it performs no I/O.
"""
