"""Transport: the only place that knows bytes on the wire."""
