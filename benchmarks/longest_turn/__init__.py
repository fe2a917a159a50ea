"""The longest event loop iteration of a proxy on worst-case input: `python -m benchmarks.longest_turn`."""
