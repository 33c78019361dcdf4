"""Order, admission and rejection of requests that wait for engines."""
