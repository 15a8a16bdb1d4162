"""A module that Python imports at the start of the controls of a soak."""
