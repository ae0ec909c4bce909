"""A model-aware router for language model versions and cascades."""

__version__ = "0.1.0"
