"""Benches: figures with their baselines, measured in one run."""
