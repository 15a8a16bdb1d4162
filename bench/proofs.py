"""Runs each proof without its mechanism and with it, as a table.

The rows whose mechanism works inside one process are run both ways here; those
of real processes are run with it only.
"""

from __future__ import annotations

import dataclasses
import subprocess
import sys

TIMEOUT = 300  # seconds


@dataclasses.dataclass(frozen=True, kw_only=True)
class Proof:
    """A promise with its test and the mechanism that keeps it."""

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
)


def passes(proof: Proof, *extra: str) -> bool:
    """Runs the tests of a proof."""
    command = [sys.executable, "-m", "pytest", "-x", "-q"]
    command += [*proof.test.split(), *extra]
    done = subprocess.run(
        command, capture_output=True, timeout=TIMEOUT, check=False
    )
    if done.returncode not in (0, 1):
        raise SystemExit(done.stdout.decode() + done.stderr.decode())
    return done.returncode == 0


def main() -> int:
    """Prints the table; exit status 1 if a proof does not tell."""
    bad = 0
    print("| promise | test | without | result without | result with |")
    print("|---|---|---|---|---|")
    for proof in PROOFS:
        before = passes(proof, "--without", proof.without)
        after = passes(proof)
        bad += before or not after
        words = {True: "passes", False: "fails"}
        print(
            f"| {proof.promise} | `{proof.test}` | {proof.without} "
            f"| {words[before]} | {words[after]} |",
            flush=True,
        )
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
