"""A layer-4 load balancer whose many small nodes keep flows whole."""

__version__ = "0.1.0"
