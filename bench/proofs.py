"""Checks that each promise depends on the mechanism that keeps it.

The test of each promise runs twice, with the mechanism disabled and with it
enabled: it has to fail and then to pass. The results are printed as a table.
"""

from __future__ import annotations

import dataclasses
import subprocess
import sys

TIMEOUT = 300  # seconds for one run of a test


@dataclasses.dataclass(frozen=True, kw_only=True)
class Proof:
    """A promise with its test and the mechanism that keeps it.

    Attributes:
      test: Arguments for pytest that select the test.
      without: Name of the mechanism, for the option `--without`.
    """

    promise: str
    test: str
    without: str = ""


PROOFS = (
    Proof(
        promise="accepted changes are never lost or reverted",
        test="tests/test_consensus.py -k random_faults",
        without="vote-sync",
    ),
    Proof(
        promise="no commit without a majority",
        test="tests/test_consensus.py -k random_faults",
        without="majority-commit",
    ),
    Proof(
        promise="a lost disk does not vote as before",
        test="tests/test_consensus.py -k emptied_disk",
        without="new-identity",
    ),
    Proof(
        promise="a change of members needs both majorities",
        test="tests/test_consensus.py -k joint",
        without="joint-quorum",
    ),
    Proof(
        promise="a leader cut off steps down",
        test="tests/test_consensus.py -k without_majority",
        without="step-down",
    ),
    Proof(
        promise="quota: tokens out take room",
        test="tests/test_quota.py -k Machine",
        without="escrow",
    ),
    Proof(
        promise="quota: a lease lapses at the node first",
        test="tests/test_quota.py -k lapses_at_the_node",
        without="owner-grace",
    ),
    Proof(
        promise="quota: a restarted owner waits",
        test="tests/test_quota.py -k Machine",
        without="mint-pause",
    ),
    Proof(
        promise="quota: a second copy of a report frees nothing",
        test="tests/test_quota.py -k second_copy",
        without="report-sequence",
    ),
    Proof(
        promise="a resend gets the first answer",
        test="tests/test_fleet_state.py -k Operators",
        without="change-ids",
    ),
    Proof(
        promise="one claimant wins",
        test="tests/test_fleet_state.py -k first_claimant",
        without="claims",
    ),
    Proof(
        promise="configuration never reverts on a node",
        test="tests/test_fleet_state.py -k never_reverts",
        without="monotone-revision",
    ),
    Proof(
        promise="not-run is true after several attempts",
        test="tests/test_dispatch.py -k not_run_is_said",
        without="truthful-not-run",
    ),
    Proof(
        promise="retries are bounded for a call tree",
        test="tests/test_dispatch.py -k budget",
        without="retry-budget",
    ),
    Proof(
        promise="a ticket needs the fleet's signature",
        test="tests/test_front_end.py -k signature",
        without="ticket-signature",
    ),
    Proof(
        promise="an answer that is there is not lost",
        test="tests/test_mailbox.py -k in_spite",
        without="taken-answers",
    ),
    Proof(
        promise="no request is passed on and its connection closed as idle",
        test="tests/test_idle_close.py",
        without="input-before-close",
    ),
)


def passes(proof: Proof, *extra: str) -> bool:
    """Runs the test of a proof and returns whether it passed.

    Raises:
      SystemExit: pytest ended otherwise than by a passed or failed test.
    """
    command = [sys.executable, "-m", "pytest", "-x", "-q"]
    command += [*proof.test.split(), *extra]
    completed = subprocess.run(
        command, capture_output=True, timeout=TIMEOUT, check=False
    )
    if completed.returncode not in (0, 1):
        raise SystemExit(completed.stdout.decode() + completed.stderr.decode())
    return completed.returncode == 0


def main() -> int:
    """Prints the table and returns the exit status.

    It is 1 if a test passed without its mechanism or failed with it.
    """
    failures = 0
    print("| promise | test | without | result without | result with |")
    print("|---|---|---|---|---|")
    for proof in PROOFS:
        passes_without = passes(proof, "--without", proof.without)
        passes_with = passes(proof)
        failures += passes_without or not passes_with
        words = {True: "passes", False: "fails"}
        print(
            f"| {proof.promise} | `{proof.test}` | {proof.without} "
            f"| {words[passes_without]} | {words[passes_with]} |",
            flush=True,
        )
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
