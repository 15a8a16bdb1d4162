"""Controllers: one task each, owning its state and its sockets."""
