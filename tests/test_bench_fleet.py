"""Tests of the addresses that the bench gives to a fleet."""

import subprocess
import sys

from bench import fleet


def _addresses_of_another_process():
    program = (
        "from bench import fleet\nprint(*fleet.free_addresses(50))\ninput()\n"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", program],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    return process, process.stdout.readline().split()


# Two fleets on one machine drew the same port: one got the other's requests.
def test_two_fleets_never_get_the_same_address():
    process, others = _addresses_of_another_process()
    own = fleet.free_addresses(50)
    process.communicate("\n")
    assert len(others) == 50
    assert not {a.host for a in own} & {a.rpartition(":")[0] for a in others}


def test_two_calls_never_return_the_same_address():
    first, second = fleet.free_addresses(2000), fleet.free_addresses(2000)
    assert len({*first, *second}) == 4000
