"""Runnable examples of docs/LIBRARY.md, one for each coordination module."""
