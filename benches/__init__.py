"""Benchmarks, run with make; they are not part of the tests."""
