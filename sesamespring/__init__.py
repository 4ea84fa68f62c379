"""Load balancer for targets whose load changes within milliseconds."""

__all__ = ["__version__"]

__version__ = "0.1.0"
