"""Leases for jobs that one host does at a time, from records of the log."""
