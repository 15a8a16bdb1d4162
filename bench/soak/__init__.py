"""A fault soak of a routed fleet of real processes on loopback."""
