"""One of three runners of an order service fails part of its orders, after it has run them."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_2 import Rig, Run, main  # noqa: E402

REQUESTS = 150
INTERVAL_S = 0.06
# Of the failing runner's requests, as in the site's entry for ``srv_grey``.
FAILING_SHARE = 0.45
WORK_S = 0.06
PROMISES = (408, 421, 429, 503)


async def run_well(run: Run) -> None:
    """Run an order and answer it with success."""
    await asyncio.sleep(WORK_S)
    run.respond()


class FailingRuns:
    """Runs all orders, and answers part of them with a 503 without ``X-Not-Executed``."""

    def __init__(self) -> None:
        self._due = 0.0

    async def __call__(self, run: Run) -> None:
        """Run an order, and fail if one is due to fail."""
        await asyncio.sleep(WORK_S)
        self._due += FAILING_SHARE
        if self._due < 1.0:
            run.respond()
            return
        self._due -= 1.0
        run.respond(503, b"the order is booked, but its receipt service is unavailable")


async def play(has_trouble: bool) -> bool:
    """Return whether the rule held."""
    async with Rig(FOLDER) as rig:
        for number in (1, 2, 3):
            is_failing = has_trouble and number == 1
            behaviour = FailingRuns() if is_failing else run_well
            await rig.add_runner(f"stock-{number}", "stock", behaviour, slots=6)
        await rig.start_hosts()
        sent = []
        for number in range(REQUESTS):
            host = rig.hosts[number % len(rig.hosts)]
            call = rig.call(host, "/order/ring", method="POST", body=b"one ring")
            sent.append(asyncio.ensure_future(call))
            await asyncio.sleep(INTERVAL_S)
        calls = await asyncio.gather(*sent)
        refused = [call for call in calls if call.status in PROMISES]
        broken = [call for call in refused if rig.runs_of(call.id)]
        text = f"{len(broken)} of {len(calls)} orders have run and were answered with a promise"
        rig.record.note(text)
        print(text)
        return not broken


main(FOLDER, play)
