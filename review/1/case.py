"""A stream that may not be resumed runs twice: its first answer is dropped for a larger model's.

The operator adds a streaming route while the hosts serve. With ``TROUBLE=0`` the added route has
``resumable``, so that its requests may run more than once.
"""

import time
from collections import Counter
from pathlib import Path

from review.harness import Deployment, KeptChannel, Record, describe_config, has_trouble, run_case

REQUESTS = 60
HOSTS = 3
# The smallest model's own opinion of its answers, from 0 to 100, and the largest one's.
CONFIDENCE = {"small": 30, "large": 95}


def play(record: Record) -> bool:
    """Send streams on the added route; return whether each ran once at most."""
    with Deployment(hosts=HOSTS) as deployment:
        deployment.publish()
        for number, zone in enumerate("abc", 1):
            engine = deployment.add_endpoint(f"engine-{number}", "engines", zone=zone)
            engine.confidence = CONFIDENCE
        deployment.start_hosts()
        record.write(f"{HOSTS} hosts are ready")
        is_resumable = not has_trouble()
        deployment.add_route("advice", "draft", resumable=is_resumable)
        record.write(f"configuration: {describe_config(deployment.config)}")
        time.sleep(3.0)
        channels = [KeptChannel(deployment.caller_address(number)) for number in range(HOSTS)]
        headers = {
            "X-Model": "*",
            "X-Token-Usage": "400,50",
            "X-Prompt-Prefix": "5c1e07a2:400",
        }
        for number in range(REQUESTS):
            request_id = f"advice-{number}"
            ending = channels[number % HOSTS].send(request_id, "/advice/ring", headers, b"advise")
            record.write(f"sent {request_id} to host {number % HOSTS}: {ending}")
        for channel in channels:
            channel.close()
        runs: Counter[str] = Counter()
        for engine in deployment.endpoints.values():
            for request in engine.received_requests:
                if not request.is_executed:
                    continue
                request_id = request.headers["x-attempt-id"]
                model = request.headers["x-model"]
                runs[request_id] += 1
                record.write(f"{engine.instance_id} ran {request_id} with {model}")
        repeated = [request_id for request_id, count in runs.items() if count > 1]
        record.write(f"{len(runs)} requests ran, {len(repeated)} of them more than once")
        if not runs:
            raise RuntimeError("no request ran")
        # Only a stream that may be resumed counts as idempotent.
        return is_resumable or not repeated


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
