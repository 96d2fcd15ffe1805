"""Global traffic steering: look-ups, entry proxies and the parts that coordinate them."""

__version__ = "0.1.0"
