"""Shared parts of the benchmarks: child processes, stand-in servers, load, options and reports."""
