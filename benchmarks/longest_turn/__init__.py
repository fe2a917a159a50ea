"""The longest turn of a proxy's event loop, under the worst input: `python -m benchmarks.longest_turn`."""
