"""Billing: each request once."""
