"""Header names and paths of the platform."""

from __future__ import annotations

REQUEST_ID = "request-id"
# Milliseconds that the sender waits for the answer, not a point in time.
DEADLINE = "request-deadline"
# The organisation of the key, for the upstream only.
ORGANISATION = "tenant-id"
# Service of the VM that the request came from, for the upstream only.
CALLER = "caller-service"
# Incarnation of the upstream that the request is meant for.
INCARNATION = "target-instance"
# Present, with any value, if the upstream did not run the request.
NOT_RUN = "not-executed"
# Milliseconds for which an upstream stays cold, in a health response.
COLD_REMAINING = "cold-remaining"

# Where an upstream is to send its next heartbeats, in the response to one.
HEARTBEAT_ADDRESS = "heartbeat_uri"

READINESS_PATH = "/-/readiness"
CONFIGURATION_PATH = "/-/configuration"
EVACUATION_PATH = "/-/evacuation/"
INSTANCES_PATH = "/-/instances/"

# Headers of a caller's request that are not passed on.
STRIPPED_HEADERS = frozenset(
    {"authorization", DEADLINE, ORGANISATION, CALLER, INCARNATION}
)
