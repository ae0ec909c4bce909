"""Reports of the two firms' measures under the brief's faults: ``python -m examples.reports``."""
