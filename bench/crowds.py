"""Memory of processes whose clients send very many small parts, or nothing.

One control and one node run as processes. A crowd of clients connects to one
listener, and each sends the same kind of input: a legal head of very many short
lines, for example. The highest resident memory of the process, its descriptors
and an ordinary request afterwards are reported.

    python -m bench.crowds --form short-lines --callers 1500
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import os
import pathlib
import resource
import signal
import sys
import tempfile

import trio

from bench import crowd_forms
from bench import fleet as fleet_module
from bench import slow_readers
from bench.soak import callers
from bench.soak import fleet

SERVICE_TIME = 0.5  # seconds in which the upstream answers
SUSPENDED = 1.0  # seconds for which a process accepts nothing
SETTLE = 3.0  # seconds in which a process closes what the crowd has left
_BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What a crowd did to the process it connected to.

    Attributes:
      alive: Whether the process still runs.
      rest_mb: Resident memory before the crowd, in MB.
      peak_mb: The highest resident memory, in MB.
      descriptors: The highest number of open descriptors.
      descriptors_after: Their number after the crowd, once those of its
        connections are closed.
      status: Status of an ordinary request to the node afterwards.
      ready: Whether the control answers an operator afterwards.
    """

    alive: bool
    rest_mb: float
    peak_mb: float
    descriptors: int
    descriptors_after: int
    status: int
    ready: bool


class _Upstream(slow_readers.EndlessUpstream):
    """Answers each request after a while."""

    async def _serve(self, stream: trio.SocketStream) -> None:
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                part = await stream.receive_some(65536)
                if not part:
                    return
                data += part
            await trio.sleep(SERVICE_TIME)
            lines = data.split(b"\r\n")
            echoed = [
                line
                for line in lines
                if line.lower().startswith(b"request-id:")
            ]
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\n%b\r\nResponse-Signature: s\r\n"
                b"Connection: close\r\nContent-Length: 0\r\n\r\n"
                % b"\r\n".join(echoed)
            )
        except _BROKEN:
            pass
        finally:
            stream.socket.close()


class Measurement:
    """One control, one node and its upstream, with a crowd of clients."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        settings: dict[str, object],
        hold: float,
        pipeline_depth: int,
        descriptors: int | None,
    ) -> None:
        """Sets up the processes.

        Args:
          folder: For settings, data and logs.
          settings: Added to the settings of each process.
          hold: Seconds that a crowd stays.
          pipeline_depth: Requests of one connection that the node runs at the
            same time.
          descriptors: Soft limit on the open descriptors of each process; None
            for that of this process.
        """
        self._folder = folder
        self._descriptors = descriptors
        self._hold = hold
        self._pipeline_depth = pipeline_depth
        self._settings = settings
        self._daemons = fleet.Daemons(folder=folder, report=lambda _: None)
        addresses = iter(fleet_module.free_addresses(9))
        self._listen = {
            vm: {name: next(addresses) for name in names}
            for vm, names in (
                ("control-0", ("rpc", "ops", "operators")),
                (
                    "node-0",
                    ("callers", "peers", "readiness", "announcements", "ops"),
                ),
            )
        }
        self._upstream = next(addresses)

    async def run(self, form: crowd_forms.Form, count: int) -> Result:
        """Starts the processes, lets the crowd in, and asks afterwards."""
        try:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                result = await self._play(form, count)
                nursery.cancel_scope.cancel()
        finally:
            self._daemons.close()
        return result

    async def _start(self, nursery: trio.Nursery) -> None:
        rpc = self._listen["control-0"]["rpc"]
        self._daemons.write_control(
            "control-0", listen=self._listen["control-0"], seeds=[rpc]
        )
        self._daemons.write_node(
            "node-0",
            listen=self._listen["node-0"],
            seeds=[rpc],
            service="alpha",
            upstream=self._upstream,
            pipeline_depth=self._pipeline_depth,
        )
        server = _Upstream(address=self._upstream, slots=20)
        await server.start(nursery)
        nursery.start_soon(
            server.announce, self._listen["node-0"]["announcements"], "alpha"
        )
        for vm in self._listen:
            with (self._folder / f"{vm}.yaml").open("a") as file:
                file.writelines(
                    f"{name}: {json.dumps(value)}\n"
                    for name, value in self._settings.items()
                )
            with _descriptor_limit(self._descriptors):
                self._daemons.start(vm)
        with trio.fail_after(30.0):
            while not await self._configure():
                await trio.sleep(0.2)
            while await self._ask() != 200:
                await trio.sleep(0.2)

    async def _configure(self) -> bool:
        document = slow_readers.document()
        status, _ = await callers.send_once(
            self._listen["control-0"]["operators"],
            "PUT",
            "/-/configuration",
            headers=(("if-match", "0"),),
            body=json.dumps(document).encode(),
        )
        return status == 200

    async def _ask(self) -> int:
        """Sends an ordinary request to the node and returns the status."""
        with trio.move_on_after(5.0):
            status, _ = await callers.send_once(
                self._listen["node-0"]["callers"],
                "GET",
                "/x",
                headers=(("host", "alpha.example"), ("request-id", "r-1")),
            )
            return status
        return 0

    async def _is_control_ready(self) -> bool:
        with trio.move_on_after(5.0):
            status, _ = await callers.send_once(
                self._listen["control-0"]["operators"],
                "GET",
                "/-/configuration",
            )
            return status == 200
        return False

    async def _play(self, form: crowd_forms.Form, count: int) -> Result:
        pid = self._daemons.process_ids()[form.vm]
        address = self._listen[form.vm][form.listener]
        rest = slow_readers.resident_mb(pid)
        descriptors_at_rest = _descriptors(pid)
        peak, descriptors = 0.0, 0
        async with trio.open_nursery() as crowd:
            if form.is_suspended:
                os.kill(pid, signal.SIGSTOP)
                crowd.start_soon(_continue, pid)
            for number in range(count):
                crowd.start_soon(form.send, address, form.data(number))
            with trio.move_on_after(self._hold):
                while self._is_alive(pid):
                    peak, descriptors = (
                        _peak_mb(pid),
                        max(descriptors, _descriptors(pid)),
                    )
                    await trio.sleep(0.05)
            crowd.cancel_scope.cancel()
        status, ready = 0, False
        with trio.move_on_after(15.0):
            while status != 200 or not ready:
                await trio.sleep(0.2)
                status = await self._ask()
                ready = await self._is_control_ready()
        descriptors_after = descriptors
        with trio.move_on_after(SETTLE):
            while descriptors_after > descriptors_at_rest:
                if not self._is_alive(pid):
                    break
                descriptors_after = _descriptors(pid)
                await trio.sleep(0.05)
        alive = self._is_alive(pid)
        return Result(
            alive=alive,
            rest_mb=rest,
            peak_mb=_peak_mb(pid) if alive else peak,
            descriptors=descriptors,
            descriptors_after=descriptors_after,
            status=status,
            ready=ready,
        )

    def _is_alive(self, pid: int) -> bool:
        """Whether the process runs; one that has ended has no memory."""
        path = pathlib.Path(f"/proc/{pid}/status")
        return path.exists() and "VmHWM:" in path.read_text(encoding="utf-8")


async def _continue(pid: int) -> None:
    """Lets a process go on that was suspended."""
    try:
        await trio.sleep(SUSPENDED)
    finally:
        os.kill(pid, signal.SIGCONT)


@contextlib.contextmanager
def _descriptor_limit(count: int | None) -> Iterator[None]:
    """Limits the descriptors of the processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if count is not None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def _peak_mb(pid: int) -> float:
    """Returns the highest resident memory of a process so far, in MB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    return int(status.split("VmHWM:")[1].split()[0]) / 1024


def _descriptors(pid: int) -> int:
    return sum(1 for _ in pathlib.Path(f"/proc/{pid}/fd").iterdir())


async def measure(
    form: crowd_forms.Form,
    count: int,
    settings: dict[str, object],
    hold: float,
    pipeline_depth: int = 1,
    descriptors: int | None = None,
) -> Result:
    """Plays one crowd against processes of its own."""
    with tempfile.TemporaryDirectory(prefix="crowds-") as folder:
        measurement = Measurement(
            folder=pathlib.Path(folder),
            settings=settings,
            hold=hold,
            pipeline_depth=pipeline_depth,
            descriptors=descriptors,
        )
        return await measurement.run(form, count)


def main() -> int:
    """Prints the results; the exit status is 1 if a bound does not hold."""
    parser = argparse.ArgumentParser(prog="python -m bench.crowds")
    forms = crowd_forms.FORMS | crowd_forms.CONNECTION_FORMS
    parser.add_argument("--form", choices=forms, action="append")
    parser.add_argument("--callers", type=int, default=300)
    parser.add_argument("--hold", type=float, default=4.0, help="seconds")
    parser.add_argument("--limit", type=float, default=200.0, help="MB")
    parser.add_argument("--memory", type=int, help="memory_mb of the settings")
    parser.add_argument("--pipeline-depth", type=int, default=1)
    parser.add_argument(
        "--descriptors", type=int, help="limit on the descriptors of a process"
    )
    options = parser.parse_args()
    settings = {} if options.memory is None else {"memory_mb": options.memory}
    failed = False
    for name in options.form or crowd_forms.FORMS:
        result = trio.run(
            measure,
            forms[name],
            options.callers,
            settings,
            options.hold,
            options.pipeline_depth,
            options.descriptors,
        )
        failed |= (
            not result.alive
            or result.peak_mb > options.limit
            or result.status != 200
            or not result.ready
        )
        print(f"{name}, {options.callers}: {result}", flush=True)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
