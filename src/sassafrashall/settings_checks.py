"""Checks of settings; all faults are reported together."""

from __future__ import annotations

import dataclasses
import ipaddress
from typing import Any

from sassafrashall import settings as settings_module
from sassafrashall.decisions import pipelining
from sassafrashall.decisions import voter_placement

MIN_SECRET_LENGTH = 16  # bytes
MAX_SECRET_LENGTH = 64  # bytes; the longest key of BLAKE2b
# A process needs about 40 MB at rest.
MIN_MEMORY_MB = 64
MAX_COLD_BOUND = 1_000_000  # of `cold_overage` and `cold_slack`


def check(settings: Any) -> list[tuple[str, str]]:
    """Returns the key and the description of each fault in settings."""
    match settings:
        case settings_module.Daemon():
            return _check_daemon(settings)
        case settings_module.Tool():
            return _check_tool(settings)
        case _:
            return []


def _check_daemon(settings: settings_module.Daemon) -> list[tuple[str, str]]:
    faults = _check_role(settings)
    if (
        not MIN_SECRET_LENGTH
        <= len(settings.fleet_secret.encode())
        <= MAX_SECRET_LENGTH
    ):
        faults.append(
            (
                "fleet_secret",
                f"must have {MIN_SECRET_LENGTH} to {MAX_SECRET_LENGTH} bytes",
            )
        )
    if settings.memory_mb < MIN_MEMORY_MB:
        faults.append(("memory_mb", f"must be at least {MIN_MEMORY_MB}"))
    if settings.default_timeout_ms < 1:
        faults.append(("default_timeout_ms", "must be positive"))
    faults.extend(check_policy(settings.policy))
    if settings.routed is not None:
        faults.extend(_check_losses(settings.routed.losses))
        faults.extend(_check_cold_bounds(settings.routed))
        faults.extend(_check_lease_fraction(settings.routed))
        if not 1 <= settings.routed.pipeline_depth <= pipelining.MAX_DEPTH:
            faults.append(
                (
                    "routed.pipeline_depth",
                    f"must be within 1 to {pipelining.MAX_DEPTH}",
                )
            )
    if not settings.seeds:
        faults.extend(_check_controls(settings.controls))
    elif settings.controls:
        faults.append(("seeds", "can't be combined with 'controls'"))
    return faults


def _check_role(settings: settings_module.Daemon) -> list[tuple[str, str]]:
    """Checks what the role of the daemon needs, and its addresses."""
    faults: list[tuple[str, str]] = []
    listen = settings.listen
    required: tuple[str, ...]
    if settings.role is settings_module.Role.NODE and settings.routed:
        required = ("callers", "readiness", "announcements", "peers")
    elif settings.role is settings_module.Role.NODE:
        required = ("callers", "local", "peers")
    else:
        required = ("rpc",)
        if not settings.data_folder:
            faults.append(("data_folder", "a control needs a data folder"))
        if not settings.operator_secret:
            faults.append(
                ("operator_secret", "a control needs an operator secret")
            )
        control_vms = {control.vm for control in settings.controls}
        if not settings.seeds and settings.vm not in control_vms:
            faults.append(("controls", f"{settings.vm!r} is missing"))
    for name in required:
        if getattr(listen, name) is None:
            faults.append(("listen", f"a {settings.role} needs {name!r}"))
    if listen.local and not ipaddress.ip_address(listen.local.host).is_loopback:
        faults.append(("listen.local", "must be a loopback address"))
    return faults


def check_policy(policy: settings_module.Policy) -> list[tuple[str, str]]:
    """Returns the key and the description of each fault in a policy."""
    faults = []
    for name, known in settings_module.POLICY_NAMES.items():
        value = getattr(policy, name)
        if value not in known:
            faults.append(
                (
                    f"policy.{name}",
                    f"unknown policy {value!r}; known: {', '.join(known)}",
                )
            )
    for name in ("queue_length", "longest_wait_ms", "crossing_cost_ms"):
        if getattr(policy, name) < 0:
            faults.append((f"policy.{name}", "must not be negative"))
    return faults


def _check_losses(losses: voter_placement.Losses) -> list[tuple[str, str]]:
    return [
        (f"routed.losses.{name}", "must not be negative")
        for name, count in dataclasses.asdict(losses).items()
        if count < 0
    ]


def _check_lease_fraction(
    routed: settings_module.Routed,
) -> list[tuple[str, str]]:
    # Not a number is not above 0 either.
    if not 0.0 < routed.quota_lease_fraction <= 1.0:
        return [("routed.quota_lease_fraction", "not above 0, up to 1")]
    return []


def _check_cold_bounds(routed: settings_module.Routed) -> list[tuple[str, str]]:
    faults = []
    # Not a number is not below 0 either.
    if not 0.0 <= routed.cold_overage <= MAX_COLD_BOUND:
        faults.append(
            ("routed.cold_overage", f"not within 0 to {MAX_COLD_BOUND}")
        )
    if not 0 <= routed.cold_slack <= MAX_COLD_BOUND:
        faults.append(
            ("routed.cold_slack", f"not within 0 to {MAX_COLD_BOUND}")
        )
    return faults


def _check_controls(
    controls: tuple[settings_module.Control, ...],
) -> list[tuple[str, str]]:
    if not controls:
        return [("controls", "at least one control is needed")]
    names = [control.vm for control in controls]
    return [
        (f"controls.{index}.vm", f"{name!r} is listed twice")
        for index, name in enumerate(names)
        if name in names[:index]
    ]


def _check_tool(settings: settings_module.Tool) -> list[tuple[str, str]]:
    faults = _check_controls(settings.controls)
    if settings.timeout_s <= 0:
        faults.append(("timeout_s", "must be positive"))
    return faults
