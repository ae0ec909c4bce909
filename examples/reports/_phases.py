"""Injects one fault after another while callers keep sending requests."""

import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from examples.reports._firms import OFFERED_VERSION, Firm
from standins.fleet import Fleet, HostProcess

TRUE_QUALITIES = {"larch:1": 0.79, "spruce:1": 0.95}
CHEAP_VERSION = "larch:1"
BAD_QUALITY = 0.2
LEARNING = "learning"
CALM = "calm"
OUTAGE_DURATION_S = 6.0
PAUSE_DURATION_S = 4.0
LOST_ANSWER_COUNT = 5
APPEND_DELAY_S = 0.3


@dataclass(frozen=True)
class Phase:
    """A period with one injected fault.

    Attributes
    ----------
    name : str
        Name in the report.
    duration_s : float
        How long callers send requests in it.
    inject_fault : callable
        Injects the fault; runs concurrently with the callers.
    bad_version : str
        The version of poor quality in this phase; empty if there is none.
    """

    name: str
    duration_s: float
    inject_fault: Callable[[Fleet, Firm], None]
    bad_version: str = ""


def _inject_nothing(fleet: Fleet, firm: Firm) -> None:
    """Inject no fault."""


def _break_engine(fleet: Fleet, firm: Firm) -> None:
    """Make one engine break its streams and refuse new ones, then recover."""
    engine = fleet.endpoints["engine-a1"]
    engine.set_faults(refuse=True, die_after_tokens=3)
    time.sleep(OUTAGE_DURATION_S)
    engine.set_faults(refuse=False, die_after_tokens=0)


def _shrink_pool(fleet: Fleet, firm: Firm) -> None:
    """Make five of six engines refuse requests; the sixth can't serve the whole load."""
    engines = [fleet.endpoints[plan.name] for plan in fleet.engines][1:]
    for engine in engines:
        engine.set_faults(refuse=True)
    time.sleep(OUTAGE_DURATION_S)
    for engine in engines:
        engine.set_faults(refuse=False)


def _stop_log(fleet: Fleet, firm: Firm) -> None:
    """Make the log append without answering, respond slowly, go down, and recover."""
    fleet.log.set_faults(lose_answers=LOST_ANSWER_COUNT, append_delay_s=APPEND_DELAY_S)
    time.sleep(OUTAGE_DURATION_S / 3)
    fleet.log.set_faults(down=True, append_delay_s=0.0)
    time.sleep(OUTAGE_DURATION_S)
    fleet.log.set_faults(down=False)


def _pause_host(fleet: Fleet, firm: Firm) -> None:
    """Suspend a host for longer than any lease; it resumes without knowing of the pause."""
    host = fleet.hosts["b1"]
    host.signal(signal.SIGSTOP)
    time.sleep(PAUSE_DURATION_S)
    host.signal(signal.SIGCONT)


def _race_operators(fleet: Fleet, firm: Firm) -> None:
    """Publish twice on the same base offset at once; the same one must win at every host."""
    texts = (firm.document_text + "# first\n", firm.document_text + "# second\n")
    publishers = [
        threading.Thread(target=_publish_document, args=(fleet, text, f"race-{number}.yaml"))
        for number, text in enumerate(texts)
    ]
    for publisher in publishers:
        publisher.start()
    for publisher in publishers:
        publisher.join()


def _publish_document(fleet: Fleet, text: str, name: str) -> None:
    path = fleet.folder / name
    path.write_text(text)
    fleet.run_cli("config", "publish", str(path), "--log", fleet.log.address)


def _offer_bad_version(fleet: Fleet, firm: Firm) -> None:
    """Offer a cheap version of poor quality; kill and restart a host during its roll-out."""
    fleet.publish(firm.document_text_with_offer)
    time.sleep(1.0)
    _restart_host(fleet.hosts["c1"])


def _degrade_version(fleet: Fleet, firm: Firm) -> None:
    """Lower the quality of the cheap version at every engine under full traffic."""
    quality = {CHEAP_VERSION: BAD_QUALITY}
    for plan in fleet.engines:
        fleet.endpoints[plan.name].set_faults(quality=quality)


def _restart_host(host: HostProcess) -> None:
    host.kill()
    host.spawn()


PHASES = (
    Phase(LEARNING, 30.0, _inject_nothing),
    Phase(CALM, 10.0, _inject_nothing),
    Phase("engine breaks", 10.0, _break_engine),
    Phase("pool runs short", 10.0, _shrink_pool),
    Phase("log slow, then down", 12.0, _stop_log),
    Phase("host paused", 8.0, _pause_host),
    Phase("operators race", 4.0, _race_operators),
    Phase(
        "bad version offered, host killed", 12.0, _offer_bad_version, bad_version=OFFERED_VERSION
    ),
    Phase("version turns bad", 14.0, _degrade_version, bad_version=CHEAP_VERSION),
)
