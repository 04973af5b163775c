"""
The knobs of the target choice.

One frozen value holds them all, so that an earlier version of the policy can
be replayed beside the present one. Operators do not set them; they set the
weights and limits of the environment document.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """
    What the choice takes into account.

    ``learn_length`` estimates the end from lengths of past answers instead of
    the caller's bound on tokens. A target on which a request would wait longer
    than ``engine_wait_s`` for others' work is full; requests then wait at the
    host, where the queue is fair between teams, or are refused.

    A target outside the home region is used only while its load is at most
    ``spill_load`` of its slots. With ``price_pressure``, prefilling tokens
    again is dearer the fuller a target is, since others wait for it.
    ``away_cost_s`` is what a request away costs where cost is all that counts.
    """

    learn_answer_length: bool = True
    engine_wait_s: float = 2.0
    spill_load: float = 0.5
    scale_cost_by_load: bool = True
    remote_cost_s: float = 0.5


DEFAULT_POLICY = Policy()
