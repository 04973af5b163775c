"""
Parameters of the target choice.

One frozen value holds all of them, so that an earlier version of the policy can
be replayed beside the current one. They are not exposed to operators, who set
the weights and limits of the environment document instead.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """
    Which estimates, limits and costs the choice uses.

    With ``learn_answer_length``, the end of an answer is estimated from the
    lengths of past answers instead of the caller's token limit. A target at
    which a request would wait longer than ``engine_wait_s`` seconds for other
    requests is full; requests then wait at the host, whose queue is fair
    between teams, or are refused.

    A target outside the home region is used only while its load is at most
    ``spill_load`` of its slots. With ``scale_cost_by_load``, the cost of
    prefilling uncached tokens grows with the load of the target, because other
    requests wait for it. ``remote_cost_s`` is the cost, in seconds, of serving
    a request in a remote region when the weights count cost alone.
    """

    learn_answer_length: bool = True
    engine_wait_s: float = 2.0
    spill_load: float = 0.5
    scale_cost_by_load: bool = True
    remote_cost_s: float = 0.5


DEFAULT_POLICY = Policy()
