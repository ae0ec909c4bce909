"""Clients on kept channels send larger heads after a config has raised ``maxHeaderBytes``."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_2 import Rig, main  # noqa: E402

CHANNELS = 24
OLD_LIMIT, NEW_LIMIT = 4096, 16384
# Well inside the new limit; a head of this size takes several packets on any real link.
HEADER_BYTES = 10_000
PIECES = 8
# Longer than configApplyMs and stableWindowMs.
WAIT_S = 4.0
ALLOWED = 5


async def play(has_trouble: bool) -> bool:
    """Return whether the rule held."""
    async with Rig(FOLDER) as rig:
        limits = rig.config["limits"]
        limits["maxHeaderBytes"] = OLD_LIMIT if has_trouble else NEW_LIMIT
        rig.publish()
        for number in (1, 2):
            await rig.add_runner(f"stock-{number}", "stock")
        await rig.start_hosts()
        channels = [await rig.connect(rig.hosts[n % len(rig.hosts)]) for n in range(CHANNELS)]
        for channel in channels:
            await rig.call_on(channel, "/lookup/first")
        limits["maxHeaderBytes"] = NEW_LIMIT
        rig.publish()
        await asyncio.sleep(WAIT_S)
        calls = [
            await rig.call_on(channel, "/lookup/second", pieces=PIECES, X_Trace="t" * HEADER_BYTES)
            for channel in channels
        ]
        new_channel = await rig.connect(rig.hosts[0])
        calls.append(
            await rig.call_on(new_channel, "/lookup/new", pieces=PIECES, X_Trace="t" * HEADER_BYTES)
        )
        denied = [call for call in calls if call.is_own and call.status in range(300, 500)]
        all_requests = len(channels) + len(calls)
        text = f"{len(denied)} of {all_requests} requests ended with a 3xx or 4xx of the hosts' own"
        rig.record.note(text)
        print(text)
        return len(denied) <= ALLOWED + all_requests / 500


main(FOLDER, play)
