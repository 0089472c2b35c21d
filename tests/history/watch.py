#!/usr/bin/env python3
"""Records the configuration versions of daemons in a history, until stopped."""

import argparse
import hashlib
import http.client
import json
import time

REQUEST_TIMEOUT_S = 0.5


def get(address, path):
    connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        return answer, answer.read()
    finally:
        connection.close()


def sample(name, address):
    """Returns a "version" record, None if the daemon cannot be reached."""
    try:
        _, status = get(address, "/jl/status")
        answer, text = get(address, "/jl/config")
        incarnation = json.loads(status)["epoch"]
    except (OSError, http.client.HTTPException, ValueError):
        return None
    return {
        "at": time.monotonic_ns() // 1000,
        "t": "version",
        "who": name,
        "life": incarnation,
        "version": int(answer.getheader("Jl-Config-Version", "0")),
        "digest": hashlib.sha256(text).hexdigest()[:16],
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--history", required=True, help="history file")
    parser.add_argument("--interval-ms", type=int, default=200,
                        help="time between two samples")
    parser.add_argument("--once", action="store_true", help="take one sample and exit")
    parser.add_argument("daemons", nargs="+", metavar="NAME=ADDRESS:PORT")
    arguments = parser.parse_args()
    daemons = [item.split("=", 1) for item in arguments.daemons]
    with open(arguments.history, "a", encoding="utf-8") as file:
        while True:
            for name, address in daemons:
                record = sample(name, address)
                if record is not None:
                    file.write(json.dumps(record) + "\n")
            file.flush()
            if arguments.once:
                break
            time.sleep(arguments.interval_ms / 1000)


if __name__ == "__main__":
    try:
        main()
    except KeyboardInterrupt:
        pass
