"""An acknowledged configuration is lost after a snapshot of the log.

Three controls; the operator reads the configuration and changes it, at most
eight orders at a time. Around the 2,000th order the machines of the core freeze
for some hundredths of a second. Then all processes of the core are killed and
are back within a second, up to three times.
"""

import asyncio
import json
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import trial  # noqa: E402

CONFIG_APPLY = 2.0  # seconds, bound of the pages
ATTEMPTS = 7  # crowds of orders around an order whose number is 2,000 times N
LAST_ATTEMPT = 88.0  # seconds after which none begins, on a slow machine
ROUNDS = 3  # kills of the whole core after each
TRACE_EVERY = 500
STOP, CONT = signal.SIGSTOP, signal.SIGCONT


def document(version):
    return trial.configuration(
        version,
        {"r-a": trial.route("alpha", "/a/", timeout=f"{1000 + version}ms")},
        ["alpha"],
    )


def version_of(answer):
    return int(json.loads(answer.body)["version"][1:])


class Case:
    def __init__(self, fleet):
        self.fleet = fleet
        fleet.add_controls(3)
        self.controls = list(fleet.ports)
        self.operator = trial.Operator(fleet, self.controls)
        self.acked = 0
        self.acked_at = 0.0
        self.orders = 0
        self.broken = False

    async def change(self, control=None):
        """Sends the next version; the operator repeats it until it is clear."""
        version = self.acked + 1
        if control:
            self.operator._next = self.controls.index(control)
        who, answer = await self.operator.put(document(version), self.acked)
        self.fleet.note(
            f"PUT r{version} on r{self.acked} -> {who} "
            f"{answer and answer.status} {answer and answer.body[:120]!r}"
        )
        if answer is None or answer.status != 200:
            return answer
        self.acked, self.acked_at = version, time.monotonic()
        return answer

    async def read(self, note=True):
        """Reads the configuration and judges the answer."""
        sent_at = time.monotonic()
        who, answer = await self.operator.get()
        if answer is None or answer.status != 200:
            self.fleet.note(f"GET -> {who} {answer and answer.status}")
            return
        version = version_of(answer)
        late = sent_at > self.acked_at + CONFIG_APPLY
        if note:
            self.fleet.note(f"GET -> {who} 200 r{version}")
        if version < self.acked and late:
            self.broken = True
            self.fleet.note(
                f"BROKEN: r{self.acked} was acknowledged "
                f"{sent_at - self.acked_at:.1f} s before this read, "
                f"which gives r{version}"
            )

    def status(self):
        for control in self.controls:
            shown = self.fleet.status(control).get("status")
            if shown:
                # What a control shows of itself is no older than 0.3 s.
                for one in shown["controls"]:
                    if one["role"] == "leader" and one["vm"] == control:
                        return one["vm"], one["applied"]
        raise trial.CannotRun("no leader")

    async def leader(self):
        for _ in range(20):
            try:
                return await asyncio.to_thread(self.status)
            except trial.CannotRun:
                await asyncio.sleep(0.3)
        raise trial.CannotRun("no leader")

    async def bulk(self, count, control):
        """Reads `count` times, eight at a time, at one control."""
        left = count
        port = self.fleet.ports[control]["operators"]

        async def reader():
            nonlocal left
            connection = trial.Connection("127.0.0.1", port)
            while left > 0:
                left -= 1
                answer = await connection.ask("GET", "/-/configuration", timeout=1.0)
                self.orders += 1
                if self.orders % TRACE_EVERY == 0:
                    self.fleet.note(f"{self.orders} reads so far")
                if answer is None or answer.status != 200:
                    self.fleet.note(f"a read had no answer: {answer and answer.status}")
            connection.close()

        await asyncio.gather(*(reader() for _ in range(8)))

    async def approach(self, snapshot_at):
        """Reads until the log has nearly 2,000 entries more than the snapshot."""
        while True:
            await asyncio.sleep(0.4)
            leader, applied = await self.leader()
            missing = snapshot_at + 1995 - applied
            if missing <= 0:
                return leader, applied
            if missing > 100:
                await self.bulk(missing - 50, leader)
            else:
                await self.bulk(missing, leader)

    async def crowd(self, leader):
        """Eight orders at a time: seven reads, and the change as the last."""
        port = self.fleet.ports[leader]["operators"]
        frozen = trial.TROUBLE
        a, b = [c for c in self.controls if c != leader]
        send = self.fleet.signal
        readers = [trial.Connection("127.0.0.1", port) for _ in range(7)]
        for reader in readers:
            # Opens its connection.
            await reader.ask("GET", "/other", timeout=1.0)
        await self.operator.connection(leader).ask("GET", "/other", timeout=1.0)

        def ask(reader):
            return asyncio.create_task(
                reader.ask("GET", "/-/configuration", timeout=1.0)
            )

        if frozen:
            send(b, STOP)
        first = await ask(readers[0])
        self.fleet.note(f"read -> {first and first.status}")
        if frozen:
            send(a, STOP)
        await asyncio.sleep(0.004)
        tasks = [ask(readers[1])]
        await asyncio.sleep(0.012)
        tasks += [ask(reader) for reader in readers[2:]]
        await asyncio.sleep(0.012)
        change = asyncio.create_task(self.change(leader))
        await asyncio.sleep(0.02)
        if frozen:
            send(leader, STOP)
            send(b, CONT)
            await asyncio.sleep(0.06)
            send(b, STOP)
            send(leader, CONT)
            await asyncio.sleep(0.03)
            send(leader, STOP)
            send(a, CONT)
            send(b, CONT)
            await asyncio.sleep(0.08)
            send(leader, CONT)
        for answer in await asyncio.gather(*tasks):
            self.fleet.note(f"read -> {answer and answer.status}")
        await change
        for reader in readers:
            reader.close()

    async def kill(self, names):
        for name in names:
            self.fleet.kill(name)
        self.operator.close()
        self.operator = trial.Operator(self.fleet, self.controls)
        await asyncio.sleep(0.3)
        for name in names:
            # Written anew at each start; the fleet is founded by now.
            number = self.controls.index(name)
            self.fleet.write_control(
                name, self.fleet.zones[number], first_start=False
            )
            self.fleet.start(name)

    async def run(self):
        fleet = self.fleet
        for control in self.controls:
            fleet.start(control)
        await self.change()
        if not self.acked:
            return trial.NOT_RUN
        snapshot_at = 0
        began = time.monotonic()
        for attempt in range(ATTEMPTS):
            if time.monotonic() > began + LAST_ATTEMPT:
                break
            leader, applied = await self.approach(snapshot_at)
            fleet.note(f"attempt {attempt + 1}: {leader} leads, {applied} entries")
            await self.crowd(leader)
            await self.read()
            if not trial.TROUBLE:
                await asyncio.sleep(CONFIG_APPLY + 0.2)
                await self.read()
                break
            _, snapshot_at = await self.leader()
            await asyncio.sleep(CONFIG_APPLY)
            for _ in range(ROUNDS):
                await self.kill(self.controls)
                await self.read()
                if self.broken:
                    break
                await asyncio.sleep(0.3)
            if self.broken:
                # What the operator meets when it goes on from there.
                await self.change()
                break
        dead = fleet.dead()
        if dead:
            fleet.note(f"ended by themselves: {dead}")
        return trial.BROKEN if self.broken else trial.HELD


async def main(fleet):
    case = Case(fleet)
    try:
        return await case.run()
    finally:
        case.operator.close()


trial.run(main, HERE / "record.txt")
