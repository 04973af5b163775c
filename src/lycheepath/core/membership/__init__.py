"""
Who takes part: members of the region, their incarnations and their verdicts.

``Membership`` in ``node`` is the entry point. It takes messages, ticks and
statements of its own host and returns actions; it performs no I/O.
"""
