"""The daemon: reads its settings, runs one role, stops on a signal."""

from __future__ import annotations

import argparse
from collections.abc import AsyncIterator
from collections.abc import Sequence
import gc
import signal
import sys
from typing import Protocol

import trio

from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import settings as settings_module
from sassafrashall import settings_file

# High thresholds make collections rare: their pauses are what callers would
# notice most, and reference counting frees almost all objects anyway.
GC_THRESHOLDS = (20_000, 50, 100)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs `sassafrashalld` and returns its exit status."""
    # Its default ends the process, also before and after the event loop.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    parser = argparse.ArgumentParser(
        prog="sassafrashalld",
        description="Runs one process of the overload control layer.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    options = parser.parse_args(arguments)
    try:
        settings = settings_file.read(options.settings, settings_module.Daemon)
    except exceptions.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    logs.configure(settings.vm, settings.log_level)
    status = EXIT_OK
    try:
        trio.run(_run_process, settings)
    except* (exceptions.SassafrashallError, OSError) as group:
        for leaf in _leaf_exceptions(group):
            logs.get().error(
                "process stopped by an error", extra={"reason": str(leaf)}
            )
        status = EXIT_FAILED
    return status


def _leaf_exceptions(group: BaseExceptionGroup) -> list[BaseException]:
    leaves: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            leaves.extend(_leaf_exceptions(error))
        else:
            leaves.append(error)
    return leaves


class Process(Protocol):
    """The process of one role: a node or a control."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the tasks and listeners of the process in `nursery`."""
        ...

    async def close(self) -> None:
        """Stops the process gracefully."""
        ...


def _create_process(settings: settings_module.Daemon) -> Process:
    """Returns the process for the role in the settings.

    Only the modules of that role are imported, since imports take most of the
    CPU time of a start.
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


async def _run_process(settings: settings_module.Daemon) -> None:
    process = _create_process(settings)
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
                # Addresses and secrets are fixed for the life of a process;
                # other changes reach it from the controls.
                logs.get().info("ignored SIGHUP, settings are not read again")
            nursery.start_soon(_ignore_signals, signals)
            await process.close()
            nursery.cancel_scope.cancel()


async def _ignore_signals(signals: AsyncIterator[int]) -> None:
    """Takes the signals that arrive during a stop.

    trio raises those that nobody took once more after the stop, and they would
    then kill the process.
    """
    async for received in signals:
        logs.get().info(
            "ignored a signal, stopping", extra={"signal": received}
        )


if __name__ == "__main__":
    sys.exit(main())
