"""The brief's faults, one after the other, while callers go on."""

import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from examples.reports._firms import OFFERED, Firm
from standins.fleet import Fleet, HostProcess

GOOD = {"larch:1": 0.79, "spruce:1": 0.95}
CHEAP = "larch:1"
BAD_QUALITY = 0.2
LEARNING = "learning"
CALM = "calm"
OUTAGE_S = 6.0
PAUSE_S = 4.0
LOST_ANSWERS = 5
SLOW_APPEND_S = 0.3


@dataclass(frozen=True)
class Phase:
    """A time with one fault.

    Attributes
    ----------
    name : str
        As in the report.
    seconds : float
        How long callers bring work in it.
    cause : callable
        Causes the fault; runs beside the callers.
    exposes : str
        The version that is bad in it; empty without one.
    """

    name: str
    seconds: float
    cause: Callable[[Fleet, Firm], None]
    exposes: str = ""


def _cause_nothing(fleet: Fleet, firm: Firm) -> None:
    """Leave all as it is."""


def _break_engine(fleet: Fleet, firm: Firm) -> None:
    """Let one engine break its streams and refuse new ones, then be well again."""
    engine = fleet.endpoints["engine-a1"]
    engine.set_faults(refuse=True, die_after_tokens=3)
    time.sleep(OUTAGE_S)
    engine.set_faults(refuse=False, die_after_tokens=0)


def _shrink_pool(fleet: Fleet, firm: Firm) -> None:
    """Let five of six engines refuse; the sixth can't carry all."""
    engines = [fleet.endpoints[plan.name] for plan in fleet.engines][1:]
    for engine in engines:
        engine.set_faults(refuse=True)
    time.sleep(OUTAGE_S)
    for engine in engines:
        engine.set_faults(refuse=False)


def _stop_log(fleet: Fleet, firm: Firm) -> None:
    """Let the log lose answers after the effect, be slow, then down, then back."""
    fleet.log.set_faults(lose_answers=LOST_ANSWERS, append_delay_s=SLOW_APPEND_S)
    time.sleep(OUTAGE_S / 3)
    fleet.log.set_faults(down=True, append_delay_s=0.0)
    time.sleep(OUTAGE_S)
    fleet.log.set_faults(down=False)


def _pause_host(fleet: Fleet, firm: Firm) -> None:
    """Stop a host for longer than any lease; it goes on unknowingly."""
    host = fleet.hosts["b1"]
    host.signal(signal.SIGSTOP)
    time.sleep(PAUSE_S)
    host.signal(signal.SIGCONT)


def _race_operators(fleet: Fleet, firm: Firm) -> None:
    """Let two operators publish on the same base at once; one wins everywhere."""
    texts = (firm.text + "# first\n", firm.text + "# second\n")
    racers = [
        threading.Thread(target=_try_publish, args=(fleet, text, f"race-{number}.yaml"))
        for number, text in enumerate(texts)
    ]
    for racer in racers:
        racer.start()
    for racer in racers:
        racer.join()


def _try_publish(fleet: Fleet, text: str, name: str) -> None:
    path = fleet.folder / name
    path.write_text(text)
    fleet.run_cli("config", "publish", str(path), "--log", fleet.log.address)


def _offer_bad_version(fleet: Fleet, firm: Firm) -> None:
    """Offer a bad version cheaply; kill a host in mid-roll-out and replace it."""
    fleet.publish(firm.text_with_offer)
    time.sleep(1.0)
    _replace(fleet.hosts["c1"])


def _spoil_version(fleet: Fleet, firm: Firm) -> None:
    """Let the cheap version turn bad at every engine under full traffic."""
    quality = {CHEAP: BAD_QUALITY}
    for plan in fleet.engines:
        fleet.endpoints[plan.name].set_faults(quality=quality)


def _replace(host: HostProcess) -> None:
    host.kill()
    host.spawn()


PHASES = (
    Phase(LEARNING, 30.0, _cause_nothing),
    Phase(CALM, 10.0, _cause_nothing),
    Phase("engine breaks", 10.0, _break_engine),
    Phase("pool runs short", 10.0, _shrink_pool),
    Phase("log slow, then down", 12.0, _stop_log),
    Phase("host paused", 8.0, _pause_host),
    Phase("operators race", 4.0, _race_operators),
    Phase("bad version offered, host killed", 12.0, _offer_bad_version, exposes=OFFERED),
    Phase("version turns bad", 14.0, _spoil_version, exposes=CHEAP),
)
