"""The daemon: reads its settings, runs one role, stops on a signal."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
import gc
import signal
import sys
from typing import Protocol

import trio

from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import settings as settings_module

# Long pauses of the garbage collector are what a caller would notice most;
# almost everything here is freed by its reference count.
GC_THRESHOLDS = (20_000, 50, 100)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs `sassafrashalld` and returns its exit status."""
    parser = argparse.ArgumentParser(
        prog="sassafrashalld",
        description="Runs one process of the overload control layer.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    options = parser.parse_args(arguments)
    try:
        settings = settings_module.read(
            options.settings, settings_module.Daemon
        )
    except exceptions.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    logs.configure(settings.vm, settings.log_level)
    status = EXIT_OK
    try:
        trio.run(_run, settings)
    except* (exceptions.SassafrashallError, OSError) as group:
        for failure in _leaves(group):
            logs.get().error("cannot run", extra={"reason": str(failure)})
        status = EXIT_FAILED
    return status


def _leaves(group: BaseExceptionGroup) -> list[BaseException]:
    found: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found.extend(_leaves(error))
        else:
            found.append(error)
    return found


class Process(Protocol):
    """What a role runs."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts everything in `nursery`."""
        ...

    async def close(self) -> None:
        """Ends in good order."""
        ...


def _process(settings: settings_module.Daemon) -> Process:
    """Returns what runs the role.

    Only the modules of the role are imported, since imports are most of the
    processor time of a start.
    """
    match settings.role:
        case settings_module.Role.NODE if settings.routed is not None:
            from sassafrashall import routed_node

            return routed_node.RoutedNode(settings=settings)
        case settings_module.Role.NODE:
            from sassafrashall import node

            return node.Node(settings=settings)
        case settings_module.Role.CONTROL:
            from sassafrashall import control

            return control.Control(settings=settings)


async def _run(settings: settings_module.Daemon) -> None:
    process = _process(settings)
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async with trio.open_nursery() as nursery:
            await process.start(nursery)
            gc.freeze()
            gc.set_threshold(*GC_THRESHOLDS)
            async for received in signals:
                if received != signal.SIGHUP:
                    break
                # Addresses and secrets hold for the life of a process; what
                # else changes reaches it from the controls.
                logs.get().info("settings unchanged by SIGHUP")
            await process.close()
            nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(main())
