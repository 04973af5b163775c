from __future__ import annotations

from hypothesis import given, strategies

from lycheepath.core.placement.prompts import PromptCache
from lycheepath.core.serving.requests import PromptPart

PARTS = strategies.lists(
    strategies.builds(
        PromptPart, strategies.sampled_from("abcdefgh"), strategies.integers(1, 50)
    ),
    max_size=4,
)


def test_cache_counts_only_parts_whose_predecessors_are_there() -> None:
    cache = PromptCache(100)
    a, b, c = (PromptPart(name, 10) for name in "abc")
    cache.use((a, c))
    assert cache.count_cached((a, b, c)) == 10
    assert cache.count_cached((b, c)) == 0


def test_cache_drops_the_least_recently_used_part() -> None:
    cache = PromptCache(30)
    parts = {name: PromptPart(name, 10) for name in "abcd"}
    for name in ("a", "b", "c", "a", "d"):
        cache.use((parts[name],))
    cached = {name for name, part in parts.items() if cache.count_cached((part,))}
    assert cached == {"a", "c", "d"}


@given(strategies.lists(PARTS, max_size=30))
def test_cache_never_holds_more_than_its_capacity(
    prompts: list[list[PromptPart]],
) -> None:
    cache = PromptCache(60)
    for parts in prompts:
        cache.use(parts)
        assert sum(cache._parts.values()) == cache._tokens <= 60
