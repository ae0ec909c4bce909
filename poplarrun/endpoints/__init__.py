"""Endpoints: which are known, how loaded they are, which one gets the next call."""

from poplarrun.endpoints._table import Endpoint, EndpointTable

__all__ = ["Endpoint", "EndpointTable"]
