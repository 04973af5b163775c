"""The command that summarizes failed and late requests from hosts' logs."""

from __future__ import annotations

from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

from ...core.explaining.losses import sum_losses
from ..loss_tables import print_losses
from ..request_history import load_request_lines
from ..request_logs import LOG_OPTION


class LossesCommand(Command):
    """
    Prints failed and late requests by cause, route and time.

    Pass the logs of all hosts::

        lycheepath losses --log east.log --log west.log
        lycheepath losses --window 5 --log - < all.log
    """

    name = "losses"
    description = "Sums up what callers lost, by cause."
    options: ClassVar = [
        LOG_OPTION,
        option("window", "w", "Seconds of a row in time.", flag=False, default="2"),
    ]

    def handle(self) -> int:
        """Return 0, or 2 if the usage is wrong or the logs can't be read."""
        paths = list(self.option("log"))
        window = str(self.option("window"))
        if not paths or not window.isdigit() or window == "0":
            self.line_error(
                "<error>Name logs with --log FILE, and whole seconds with --window."
                "</error>"
            )
            return 2
        grouped = load_request_lines(self, paths)
        if grouped is None:
            return 2
        print_losses(self, sum_losses(grouped, float(window)))
        return 0
