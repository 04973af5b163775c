"""
Counters, gauges and latency histograms, rendered in the Prometheus text format.

There is a counter for every refusal, drop and violated invariant. Durations in
milliseconds are recorded in HDR histograms and rendered as summaries with quantiles::

    metrics = Metrics()
    metrics.count("requests_total", route="chat")
    metrics.record_ms("first_token_ms", 12.5)
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

PREFIX = "lycheepath_"
HIGHEST_TRACKABLE_US = 600_000_000
SIGNIFICANT_FIGURES = 2
QUANTILES = (0.5, 0.9, 0.95, 0.99)

_Labels = tuple[tuple[str, str], ...]


class Metrics:
    """The counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        self._counters: dict[str, dict[_Labels, int]] = defaultdict(dict)
        self._gauges: dict[str, Callable[[], float]] = {}
        self._labelled: dict[
            str, tuple[str, Callable[[], Mapping[str, float]], str]
        ] = {}
        self._histograms: dict[str, Any] = {}
        self._watched: list[tuple[str, Callable[[], Mapping[str, int]]]] = []

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add ``amount`` to the counter ``name``."""
        series = self._counters[name]
        key = tuple(sorted(labels.items()))
        series[key] = series.get(key, 0) + amount

    def counter(self, name: str, **labels: str) -> int:
        """Return the current value of a counter, zero if it doesn't exist."""
        return self._counters[name].get(tuple(sorted(labels.items())), 0)

    def watch_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Render the value that ``read`` returns under ``name``."""
        self._gauges[name] = read

    def watch_gauges(
        self, name: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Render the values that ``read`` returns, by the value of their label."""
        self._labelled[name] = label, read, "gauge"

    def watch_labelled_counters(
        self, name: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Render counts that ``read`` returns, by the value of their label."""
        self._labelled[name] = label, read, "counter"

    def watch_counters(
        self, prefix: str, read: Callable[[], Mapping[str, int]]
    ) -> None:
        """Render the counters of another component under ``prefix``."""
        self._watched.append((prefix, read))

    def record_ms(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, HIGHEST_TRACKABLE_US, SIGNIFICANT_FIGURES)
            self._histograms[name] = histogram
        histogram.record_value(max(1, min(int(value_ms * 1000), HIGHEST_TRACKABLE_US)))

    def render(self) -> str:
        """Return all series in the Prometheus text format."""
        lines: list[str] = []
        for name in sorted(self._counters):
            lines.append(f"# TYPE {PREFIX}{name} counter")
            for labels, value in sorted(self._counters[name].items()):
                lines.append(f"{PREFIX}{name}{_render_labels(labels)} {value}")
        for prefix, read in self._watched:
            for name, value in sorted(read().items()):
                lines.append(f"# TYPE {PREFIX}{prefix}_{name} counter")
                lines.append(f"{PREFIX}{prefix}_{name} {value}")
        for name in sorted(self._gauges):
            lines.append(f"# TYPE {PREFIX}{name} gauge")
            lines.append(f"{PREFIX}{name} {self._gauges[name]():g}")
        for name, (label, read_labelled, kind) in sorted(self._labelled.items()):
            lines.append(f"# TYPE {PREFIX}{name} {kind}")
            for text, number in sorted(read_labelled().items()):
                rendered = _render_labels(((label, text),))
                # Six digits would hide the growth of a large count.
                written = f"{number:g}" if kind == "gauge" else f"{number:.0f}"
                lines.append(f"{PREFIX}{name}{rendered} {written}")
        for name in sorted(self._histograms):
            lines.extend(_render_summary(name, self._histograms[name]))
        return "\n".join(lines) + "\n"


def _render_labels(labels: _Labels) -> str:
    if not labels:
        return ""
    body = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + body + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _render_summary(name: str, histogram: Any) -> list[str]:
    lines = [f"# TYPE {PREFIX}{name} summary"]
    for quantile in QUANTILES:
        value_ms = histogram.get_value_at_percentile(quantile * 100) / 1000
        lines.append(f'{PREFIX}{name}{{quantile="{quantile}"}} {value_ms:g}')
    lines.append(f"{PREFIX}{name}_count {histogram.get_total_count()}")
    return lines
