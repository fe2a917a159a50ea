"""Shared parts of the benchmarks: child processes, test servers, load generation, options and reports."""
