"""
Measures the time to first token that a host adds under its design load.

``python -m bench.latency`` sends 25 requests and 10,000 tokens per second through
one host. In the same run, short requests go alternately through the host and
directly to an engine; the differences of the quantiles are the added latency.
"""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING

import trio
from hdrh.histogram import HdrHistogram

from .client import Pool, build_body
from .setting import HOST, open_deployment, read_load, start_load
from .usage import compute_core_share, read_memory_mb, read_usage

if TYPE_CHECKING:
    from typing import Any

ENGINES = 3
ENGINE_SLOTS = 200
TOKEN_MS = 10.0
PROBE_PAUSE_S = 0.02
PROBE_TOKENS = 2
WARM_UP_S = 8.0
US_PER_S = 1_000_000
US_PER_MS = 1000
MAX_LATENCY_US = 10 * US_PER_S
QUANTILES = (50, 90, 99)


async def main(options: argparse.Namespace) -> None:
    """Run the benchmark and print the results."""
    async with open_deployment(ENGINES, slots=ENGINE_SLOTS, token_ms=TOKEN_MS) as fleet:
        host = fleet.processes[HOST]
        pools = {
            "direct": Pool(fleet.processes["runner-0"].address),
            "host": Pool(host.address, fleet.caller().key),
        }
        load = start_load(
            fleet,
            host,
            rate=options.rate,
            tokens=options.tokens,
            warm_up_s=WARM_UP_S,
            duration_s=options.duration_s,
        )
        await trio.sleep(WARM_UP_S)
        before = read_usage(host.pid)
        histograms = await _probe(pools, options.duration_s - 1)
        after = read_usage(host.pid)
        memory_mb = read_memory_mb(host.pid)
        result = await read_load(load)
    for name, histogram in histograms.items():
        print(f"first token, {name:>6}: {_render(histogram)}")
    added = [
        (histograms["host"].get_value_at_percentile(q) - _get_direct_us(histograms, q))
        / US_PER_MS
        for q in QUANTILES
    ]
    print("added by the host:   " + _render_ms(added))
    print(f"load: {result}")
    print(
        f"host: {compute_core_share(before, after):.0%} of a core, {memory_mb:.0f} MB"
    )


async def _probe(pools: dict[str, Pool], duration_s: float) -> dict[str, Any]:
    histograms = {name: HdrHistogram(1, MAX_LATENCY_US, 3) for name in pools}
    end_at = trio.current_time() + duration_s
    number = 0
    while trio.current_time() < end_at:
        for name, pool in pools.items():
            body = build_body(f"probe {number} {name}", PROBE_TOKENS, stream=True)
            async with pool.connect() as connection:
                sample = await connection.stream(body)
            histograms[name].record_value(int(sample.first_token_s * US_PER_S))
            await trio.sleep(PROBE_PAUSE_S)
        number += 1
    return histograms


def _get_direct_us(histograms: dict[str, Any], quantile: int) -> float:
    return float(histograms["direct"].get_value_at_percentile(quantile))


def _render(histogram: Any) -> str:
    values = [histogram.get_value_at_percentile(q) / US_PER_MS for q in QUANTILES]
    return f"{_render_ms(values)} ({histogram.get_total_count()} requests)"


def _render_ms(values: list[float]) -> str:
    pairs = zip(QUANTILES, values, strict=True)
    return ", ".join(f"p{quantile} {value:.2f} ms" for quantile, value in pairs)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Latency added by one host.")
    parser.add_argument("--rate", type=float, default=25.0)
    parser.add_argument("--tokens", type=int, default=400)
    parser.add_argument("--duration-s", type=float, default=20.0)
    trio.run(main, parser.parse_args())
