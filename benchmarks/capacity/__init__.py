"""Load of each role at the target size, computed from the result files: `python -m benchmarks.capacity`."""
