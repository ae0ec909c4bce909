"""Reports quality, cost and latency of two firms under faults: ``python -m examples.reports``."""
