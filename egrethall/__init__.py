"""egrethall is an HTTP load balancer for many organisations over shared upstreams."""

__version__ = "0.1.0"
__all__ = ["__version__"]
