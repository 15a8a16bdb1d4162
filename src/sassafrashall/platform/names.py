"""Header names and paths of the platform."""

from __future__ import annotations

REQUEST_ID = "request-id"
# Milliseconds that the sender will wait, not a point in time.
DEADLINE = "request-deadline"
# The organisation of the key, for the upstream only.
ORGANISATION = "tenant-id"
# Service of the VM where the request began, for the upstream only.
CALLER = "caller-service"
# Incarnation of the upstream that may run the request.
INCARNATION = "target-instance"
# Present if the upstream did not run the request, whatever its value.
NOT_RUN = "not-executed"

READINESS_PATH = "/-/readiness"
CONFIGURATION_PATH = "/-/configuration"
INSTANCES_PATH = "/-/instances/"

# What a caller must not set itself.
OWN_HEADERS = frozenset(
    {"authorization", DEADLINE, ORGANISATION, CALLER, INCARNATION}
)
