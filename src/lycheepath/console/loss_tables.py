"""Prints tables of failed and late requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .documents import print_text

if TYPE_CHECKING:
    from cleo.commands.command import Command

    from ..core.explaining.losses import Losses

MAX_CAUSES_PER_ROW = 4


def print_losses(command: Command, losses: Losses) -> None:
    """Print the totals by cause, then by route, then by time window."""
    print_text(
        command, f"{losses.requests} requests, {losses.within_objective} in their aim"
    )
    for loss, count in losses.by_cause.most_common():
        print_text(command, f"{count:7} {loss.value}")
    print_text(command, "by route:")
    for (route, loss), count in losses.by_route.most_common():
        print_text(command, f"{count:7} {route} {loss.value}")
    print_text(command, "by time, from second:")
    for window in sorted(losses.requests_by_window):
        causes = {
            loss: count
            for (at, loss), count in losses.by_window.items()
            if at == window
        }
        worst = sorted(causes.items(), key=lambda item: -item[1])[:MAX_CAUSES_PER_ROW]
        text = ", ".join(f"{count} {loss.value}" for loss, count in worst)
        requests = losses.requests_by_window[window]
        print_text(command, f"{window:7.0f} {requests:5} asked  {text}")
    for region, begin, end in losses.region_outages:
        print_text(command, f"no host of {region} ran from {begin:.1f} to {end:.1f} s")
