"""Request filters: one module each, run in order by the chain."""
