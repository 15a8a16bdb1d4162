"""The links between processes that can be cut, see `link_hook`."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
import os
import pathlib

import trio

# A folder with the module that cuts links inside of the processes.
LINK_HOOK = pathlib.Path(__file__).parent / "link_hook"


class Links:
    """Tells processes by a file which of their links are cut."""

    def __init__(self, *, path: pathlib.Path, hosts: Mapping[str, str]) -> None:
        """Sets up the links.

        Args:
          path: The file with a pair of hosts in each line.
          hosts: The loopback host of each process whose links can be cut.
        """
        self._path = path
        self._hosts = hosts
        self._cuts: list[list[str]] = []

    @property
    def vms(self) -> Collection[str]:
        """VMs of the processes whose links can be cut."""
        return self._hosts.keys()

    def environment(self, vm: str) -> dict[str, str]:
        """Returns the environment of a process."""
        if vm not in self._hosts:
            return dict(os.environ)
        path = f"{LINK_HOOK}:{os.environ.get('PYTHONPATH', '')}"
        return os.environ | {
            "PYTHONPATH": path.rstrip(":"),
            "SOAK_CUT_LINKS": str(self._path),
            "SOAK_HOST": self._hosts[vm],
            "SOAK_HOSTS": " ".join(self._hosts.values()),
        }

    async def cut(
        self,
        inside: Collection[str],
        vms: Collection[str],
        seconds: float,
        *,
        sends: bool = True,
        receives: bool = True,
    ) -> None:
        """Cuts some VMs off from the others of `vms` for some seconds.

        Args:
          inside: The VMs that are cut off.
          vms: All VMs.
          seconds: The length of the cut.
          sends: Whether what they send is held.
          receives: Whether what is sent to them is held.
        """
        lines = []
        for inner in {self._hosts[vm] for vm in inside}:
            for outer in {self._hosts[vm] for vm in vms if vm not in inside}:
                lines += [f"{inner} {outer}\n"] * sends
                lines += [f"{outer} {inner}\n"] * receives
        self._cuts.append(lines)
        self._write()
        await trio.sleep(seconds)
        self._cuts.remove(lines)
        self._write()

    def _write(self) -> None:
        written = self._path.with_suffix(".new")
        written.write_text("".join(sum(self._cuts, [])), encoding="utf-8")
        written.replace(self._path)
