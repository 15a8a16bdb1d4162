"""Pure decisions: (state, event, now) to (state, actions), without I/O."""
