"""Decision logic without I/O: pure functions on frozen data classes.

They map a state, an event and the current time to a new state and actions.
"""
