"""Benchmarks, each of which measures its figures and their baselines in one run."""
