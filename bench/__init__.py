"""Measurements, the demo and the stand-ins they need."""
