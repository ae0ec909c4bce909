"""Hosts are restarted in turn during the first half of a rollout, while sessions go on."""

import asyncio
import itertools
import random
import sys
import time
import zlib
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_2 import RESTART_DELAY_S, CannotRun, Host, Rig, main, stream_at_once  # noqa: E402

HOSTS = 6
SESSIONS = 640
# Requests of a session follow each other within sessionS, which is 5 s.
GAP_S = (4.2, 4.7)
SESSION_S = 5.0
STABLE_WINDOW_S = 3.0
DURATION_S = 24
FIRST_HALF_S = DURATION_S / 2
# The defaults of ``roll_term``: all machines, one at a time, one second apart.
ROLL_GAP_S = 1.0
# All hosts have heard of the order by then.
FIRST_RESTART_S = 0.5
ALLOWED = 3


@dataclass(frozen=True)
class Step:
    """One answered request of a session."""

    ran_at: float
    ended_at: float
    version: str
    host: str
    is_in_touch: bool


class Rolling:
    """Sessions of clients, and hosts that are stopped and started in turn.

    Attributes
    ----------
    started_at : dict of str to float
        When each host's process was last started; infinite from its SIGTERM on.
    """

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self._random = random.Random(1)
        self.started_at = {host.name: -STABLE_WINDOW_S for host in rig.hosts}
        self._not_ready: set[str] = set()
        self.is_over = False
        self.steps: dict[int, list[Step]] = {}

    def _choose_host(self, session: int) -> Host:
        """Return the host of a client: always the same one, while it is ready."""
        ready = [host for host in self._rig.hosts if host.name not in self._not_ready]
        return max(
            ready or self._rig.hosts,
            key=lambda host: zlib.crc32(f"{session}/{host.name}".encode()),
        )

    async def run_session(self, session: int) -> None:
        """Send the requests of one session, one after the other."""
        await asyncio.sleep(self._random.uniform(0.0, GAP_S[1]))
        while not self.is_over:
            host = self._choose_host(session)
            is_in_touch = time.monotonic() - self.started_at[host.name] >= STABLE_WINDOW_S
            try:
                call = await self._rig.call(
                    host,
                    "/draft/brief",
                    method="POST",
                    body=b"prompt",
                    Session=f"session-{session}",
                    X_Model="*",
                    X_Token_Usage="100,20",
                )
            except CannotRun:
                await asyncio.sleep(0.3)
                continue
            runs = self._rig.runs_of(call.id)
            if call.status != 200 or not runs:
                await asyncio.sleep(0.3)
                continue
            is_in_touch &= self.started_at[host.name] < time.monotonic()
            run = runs[-1]
            step = Step(run.began_at, time.monotonic(), run.runner.version, host.name, is_in_touch)
            self.steps.setdefault(session, []).append(step)
            await asyncio.sleep(self._random.uniform(*GAP_S))

    async def restart(self, host: Host) -> None:
        """Stop a host with SIGTERM, and start it again."""
        assert host.process is not None
        self._not_ready.add(host.name)
        self.started_at[host.name] = float("inf")
        self._rig.record.note(f"{host.name} gets SIGTERM")
        host.process.terminate()
        await host.process.wait()
        self._rig.record.note(f"{host.name} has ended with {host.process.returncode}")
        await asyncio.sleep(RESTART_DELAY_S)
        await self._rig.start_host(host)
        self.started_at[host.name] = time.monotonic()
        await self._rig.wait_until_ready(host)
        self._not_ready.discard(host.name)

    def find_moved(self, ordered_at: float) -> list[tuple[int, Step]]:
        """Return the requests that break the rule, by session."""
        return [
            (session, step)
            for session, steps in self.steps.items()
            for before, step in itertools.pairwise(steps)
            if step.ran_at - before.ended_at < SESSION_S
            and ordered_at < step.ran_at < ordered_at + FIRST_HALF_S
            and (before.version, step.version) == ("v1", "v2")
            and step.is_in_touch
        ]


async def play(has_trouble: bool) -> bool:
    """Return whether the rule held."""
    async with Rig(FOLDER, hosts=HOSTS) as rig:
        for number in (1, 2):
            await rig.add_runner(f"old-{number}", "engines", stream_at_once)
        await rig.start_hosts()
        rolling = Rolling(rig)
        sessions = [asyncio.ensure_future(rolling.run_session(n)) for n in range(SESSIONS)]
        await asyncio.sleep(SESSION_S + 1.0)
        rig.order_rollout("engines", "v2", DURATION_S)
        ordered_at = time.monotonic()
        for number in (1, 2):
            await rig.add_runner(f"new-{number}", "engines", stream_at_once, version="v2")
        restarts = []
        if has_trouble:
            await asyncio.sleep(FIRST_RESTART_S)
            for host in rig.hosts:
                restarts.append(asyncio.ensure_future(rolling.restart(host)))
                await asyncio.sleep(ROLL_GAP_S)
        await asyncio.sleep(max(0.0, ordered_at + FIRST_HALF_S - time.monotonic()))
        rolling.is_over = True
        await asyncio.gather(*restarts, *sessions)
        moved = rolling.find_moved(ordered_at)
        for session, step in moved:
            rig.record.note(
                f"session-{session} is on v2 {step.ran_at - ordered_at:.2f} s after the order, "
                f"by {step.host}"
            )
        text = f"{len(moved)} requests, sent on by hosts in touch, left their session's version"
        rig.record.note(text)
        print(text)
        return len(moved) <= ALLOWED


main(FOLDER, play)
