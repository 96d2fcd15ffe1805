"""Which gateways live, and how changes and reports travel between them."""
