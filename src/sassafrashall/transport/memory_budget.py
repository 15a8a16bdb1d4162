"""Counts the memory that a process holds for the input of its clients."""

from __future__ import annotations

from collections.abc import Callable

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import metrics
from sassafrashall.decisions import memory_limits

DEFAULT_MEMORY_MB = 200  # the smallest VM of a node
# Seconds between log lines about removed clients or refused input.
LOG_INTERVAL = 1.0
# Seconds after a search that found too few clients to remove. Each search goes
# through all connections.
SEARCH_INTERVAL = 0.05


class Account:
    """What is held for one connection.

    It consists of the input that waits for a whole message, and of the requests
    in progress.
    """

    __slots__ = ("_budget", "_input", "_requests", "_since", "try_remove")

    def __init__(
        self, *, budget: MemoryBudget, try_remove: Callable[[], bool]
    ) -> None:
        """Opens an account, see `MemoryBudget.open`."""
        self._budget: MemoryBudget | None = budget
        self._input = 0
        self._requests = 0
        self._since = 0.0
        self.try_remove = try_remove

    @property
    def held(self) -> int:
        """Estimated bytes."""
        return self._input + self._requests

    @property
    def input_size(self) -> int:
        """Estimated bytes of the input that waits."""
        return self._input

    @property
    def since(self) -> float:
        """Monotonic seconds since when input has waited to become whole."""
        return self._since

    def hold_input(self, size: int) -> None:
        """Sets the bytes of input that wait; may remove clients.

        This connection may be among them, so its state has to be checked
        afterwards.
        """
        previous, self._input = self._input, size
        if size == previous or self._budget is None:
            return
        if not previous:
            self._since = clock.monotonic()
        self._budget.add(size - previous)

    def admit(self, cost: int) -> None:
        """Adds the bytes of a request until `release`.

        Raises:
          ProtocolError: There is no room; the request must not be run.
        """
        if self._budget is None:
            return
        self._budget.check_room(cost)
        self._requests += cost
        self._budget.add(cost)

    def try_retain(self, size: int) -> bool:
        """Adds bytes that are useful but not needed, until `release`.

        Returns:
          Whether there is room for them beside what requests may need.
        """
        if self._budget is None or not self._budget.has_spare_room(size):
            return False
        self._requests += size
        self._budget.add(size)
        return True

    def release(self, cost: int) -> None:
        """Takes the bytes of a request off."""
        if self._budget is not None:
            self._requests -= cost
            self._budget.add(-cost)

    def close(self) -> None:
        """Takes off what is held; later calls have no effect."""
        budget, self._budget = self._budget, None
        if budget is not None:
            budget.remove(self)
            self._input = self._requests = 0
            # It refers to the connection, which refers to this.
            self.try_remove = keep


def keep() -> bool:
    """Removes nothing: for connections of other nodes, and closed accounts."""
    return False


class MemoryBudget:
    """The one bound of a process on what it holds for its clients."""

    def __init__(
        self,
        *,
        memory_mb: int = DEFAULT_MEMORY_MB,
        counters: metrics.Metrics | None = None,
    ) -> None:
        """Creates the budget.

        Args:
          memory_mb: Memory of the VM in MB.
          counters: Where refusals and removals are counted.
        """
        self._limit = memory_limits.held_limit(memory_mb)
        self._answer_limit = memory_limits.answer_limit(memory_mb)
        self._held = 0
        self._accounts: set[Account] = set()
        self._metrics = counters
        self._logged_at = -LOG_INTERVAL
        self._search_at = 0.0
        self._unlogged: dict[str, int] = {}

    @property
    def held(self) -> int:
        """Estimated bytes that are held for all clients."""
        return self._held

    @property
    def answer_limit(self) -> int:
        """Bytes of answers above which callers that stall are cut."""
        return self._answer_limit

    def open(self, try_remove: Callable[[], bool]) -> Account:
        """Opens the account of a connection.

        Args:
          try_remove: Closes the connection and drops its input, unless a
            request on it is in progress; returns whether it did.
        """
        account = Account(budget=self, try_remove=try_remove)
        self._accounts.add(account)
        return account

    def remove(self, account: Account) -> None:
        """Takes off what an account holds; called by `Account.close`."""
        self._accounts.discard(account)
        self._held -= account.held

    def add(self, size: int) -> None:
        """Changes what is held, and removes clients above the bound."""
        self._held += size
        if size > 0 and self._held > self._limit:
            self._remove_clients()

    def check_room(self, cost: int) -> None:
        """Checks that a request of `cost` bytes may be admitted.

        Raises:
          ProtocolError: There is no room for it.
        """
        if memory_limits.admits(cost, self._held, self._limit):
            return
        self._report("refused")
        raise exceptions.ProtocolError(
            exceptions.MEMORY_SHORT, "no memory is left for such a request"
        )

    def has_spare_room(self, size: int) -> bool:
        """Returns whether `size` bytes that are not needed may be held."""
        return memory_limits.may_retain(size, self._held, self._limit)

    def _remove_clients(self) -> None:
        now = clock.monotonic()
        if now < self._search_at:
            return
        accounts = tuple(a for a in self._accounts if a.input_size)
        ranked = memory_limits.rank_removals(
            memory_limits.Holder(
                number=number, held=account.held, age=now - account.since
            )
            for number, account in enumerate(accounts)
        )
        for number in ranked:
            if memory_limits.is_relieved(self._held, self._limit):
                break
            if accounts[number].try_remove():
                accounts[number].close()
                self._report("removed")
        if self._held > self._limit:
            self._search_at = now + SEARCH_INTERVAL

    def _report(self, cause: str) -> None:
        """Counts a refusal or removal, and logs one line in a while."""
        if self._metrics is not None:
            self._metrics.count("memory_limit_reached", cause=cause)
        self._unlogged[cause] = self._unlogged.get(cause, 0) + 1
        now = clock.monotonic()
        if now - self._logged_at >= LOG_INTERVAL:
            self._logged_at = now
            logs.get().warning(
                "memory for clients is short",
                extra={
                    "held": self._held,
                    "limit": self._limit,
                    **self._unlogged,
                },
            )
            self._unlogged.clear()
