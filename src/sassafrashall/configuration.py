"""The configuration of a routed fleet: one document, replaced as a whole."""

from __future__ import annotations

import dataclasses

from sassafrashall import model


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """A service that gets a share of a route's requests.

    Attributes:
      weight: Its share, relative to the weights of the other targets.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Requests of one host whose path begins with a prefix.

    Attributes:
      targets: Services that share the requests; a single one gets them all.
      timeout_s: Seconds from a request's arrival at the node to its deadline.
      attempts: Maximum number of upstreams to which a request is sent.
      target_latency_s: Target latency in seconds, after which a response is
        worth less; 0 if not set.
      open: Whether the route is served without a key.
      streams: Whether responses are long, so that a request does not run
        beside others of its connection.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    targets: tuple[Target, ...]
    timeout_s: float
    attempts: int
    target_latency_s: float = 0.0
    priority: model.Priority = model.Priority.NORMAL
    open: bool = False
    streams: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """Settings of a service, without its upstreams.

    Attributes:
      connection_limit: Connections that one upstream accepts; 0 if not set.
      cold_start_s: Seconds for which an upstream is cold after it has started;
        0 if it never is.
      cold_rate: Requests per second that a cold upstream can handle; 0 if not
        set.
    """

    name: str
    health_path: str = "/"
    connection_limit: int = 0
    cold_start_s: float = 0.0
    cold_rate: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on the size and the time of what a caller sends.

    Attributes:
      head_bytes: Size of the request line and headers.
      body_bytes: Size of a request's body.
      head_timeout_s: Seconds from the first byte of a head to its last.
      idle_timeout_s: Seconds that a connection is kept open without a request.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Organisation:
    """An organisation of the document.

    Attributes:
      digests: SHA-256 digests of its keys, in hexadecimal.
      rate: Requests per second over the whole fleet; 0 means no limit.
      burst: Requests that may be admitted at once beyond the rate.
      priority: Overrides the priority of the route; None keeps it.
    """

    name: str
    digests: tuple[str, ...]
    rate: float = 0.0
    burst: int = 0
    priority: model.Priority | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the document.

    Attributes:
      keyed: Whether requests to routes that are not open need a key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    organisations: tuple[Organisation, ...] = ()
    keyed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """A configuration together with the text that the operator sent."""

    configuration: Configuration
    text: bytes
