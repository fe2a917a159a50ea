"""The cost of requests through a real proxy, compared with direct ones: `python -m benchmarks.data_path`."""
