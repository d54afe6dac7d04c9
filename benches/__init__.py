"""Benchmarks: run with make, never as tests."""
