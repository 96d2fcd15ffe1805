"""The way of a request: routing, attempts, retries and the response."""
