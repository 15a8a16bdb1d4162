"""Builders of fleet configurations."""

from __future__ import annotations

from sassafrashall import configuration


def route(**changes) -> configuration.Route:
    """Returns a valid route to the service `alpha`."""
    values = {
        "name": "r",
        "host": "h.example",
        "prefix": "/a/",
        "idempotent": True,
        "targets": (configuration.Target(service="alpha", weight=1),),
        "timeout_s": 1.0,
        "attempts": 2,
        "target_latency_s": 0.5,
    }
    return configuration.Route(**{**values, **changes})


def document(*routes, **changes) -> configuration.Configuration:
    """Returns a configuration; without routes, with a valid one."""
    values = {
        "version": 1,
        "routes": routes or (route(),),
        "services": (configuration.Service(name="alpha"),),
    }
    return configuration.Configuration(**{**values, **changes})
