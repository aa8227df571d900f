"""Watches of the store go silent for good while new connections work."""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins  # noqa: E402

CONFIG_S = 2.0
DRAIN_S = 2.0
CONTACT_S = 3.0
# `stale_ok`: "may be seconds old".
LAG_S = 3.0
DROPPED_KEY = "key-that-is-dropped"


WORK_S = 0.15
# A server serves on "for `drain_ms` after the store has taken that and a little longer".
LINGER_S = 0.6


def plan(server, request):
    time.sleep(WORK_S if request["path"].startswith("/once/") else 0.02)
    if server.ended:
        server.cut.append(request["id"])
        return None
    return 200, [], b"ok"


class Requester(threading.Thread):
    """Sends requests to one gateway, each on a connection of its own."""

    def __init__(self, name, address, path, key, record):
        super().__init__(daemon=True)
        self.name_, self.address, self.path, self.key = name, address, path, key
        self.record, self.sent, self.statuses, self.stop = record, {}, {}, False

    def run(self):
        number = 0
        while not self.stop:
            number += 1
            request_id = f"{self.name_}-{number}"
            method = "POST" if self.path.startswith("/once/") else "GET"
            data = standins.request_bytes(method, self.path, request_id, 4000)
            data = data.replace(standins.KEY.encode(), self.key.encode())
            self.sent[request_id] = time.monotonic()
            try:
                with socket.create_connection(self.address, 2) as conn:
                    conn.settimeout(5)
                    conn.sendall(data)
                    status = conn.recv(65536)[9:12].decode()
            except OSError as error:
                status = str(error)
            self.statuses[request_id] = status
            self.record(f"{request_id} {self.path} {self.key}: {status}")
            time.sleep(0.08)


def case(site, record, trouble):
    store = site.store
    store.lag_s = LAG_S
    services = [{"name": name, "health_path": "/healthz", "max_connections": 110}
                for name in ("desk", "newer")]
    first = [standins.route("/moved/", "safe"), standins.route("/kept/", "safe"),
             standins.route("/once/", "unsafe", max_attempts=1)]
    both = [{"name": "north", "api_keys": [standins.KEY, DROPPED_KEY]}]
    store.put("config", "main", standins.config(7, first, services=services, tenants=both))
    old = standins.Server(site.ip(100), record, "i-old", plan, store)
    stays = standins.Server(site.ip(101), record, "i-stays", plan, store)
    newer = standins.Server(site.ip(102), record, "i-newer", plan, store, service="newer")
    halls = ["hall-a", "hall-b", "hall-c"]
    names = [f"front-{number}" for number in (1, 2, 3)]
    for number, (name, hall) in enumerate(zip(names, halls), 1):
        site.start(name, number, hall)
    for name in names:
        site.wait_ready(name)
    time.sleep(CONTACT_S + 1.0)
    if trouble:
        record(f"go silent, while new connections work: watches of {store.silence_watches()}")
    # This counts as a reset of the machines' connections: they are in touch again after that.
    time.sleep(CONTACT_S + 1.0)
    requesters = []
    for name in names:
        for label, path, key in (("moved", "/moved/a", standins.KEY),
                                 ("kept", "/kept/a", standins.KEY),
                                 ("once", "/once/a", standins.KEY),
                                 ("dropped", "/kept/b", DROPPED_KEY)):
            requesters.append(Requester(f"{name}-{label}", site.front(name), path, key, record))
    for requester in requesters:
        requester.start()
    time.sleep(0.5)
    second = [standins.route("/moved/", "safe", service="newer"), *first[1:]]
    store.put("config", "main", standins.config(9, second, services=services))
    acknowledged = time.monotonic()
    record("version 9 acknowledged: /moved/ goes to newer, a key is dropped")
    old.list(store, "draining")
    draining = time.monotonic()
    record("i-old acknowledged as draining")
    time.sleep(max(0.0, draining + DRAIN_S + LINGER_S - time.monotonic()))
    old.end()
    record("i-old ends")
    store.delete("servers", "i-old")
    time.sleep(5)
    for requester in requesters:
        requester.stop = True
    for requester in requesters:
        requester.join(6)
    sent = {key: at for requester in requesters for key, at in requester.sent.items()}
    late = {request: at - acknowledged for request, at in sent.items()
            if at > acknowledged + CONFIG_S}
    ran = set(old.runs) | set(stays.runs)
    config = sorted((round(late[request], 2), request) for request in ran
                    if request in late and ("-moved-" in request or "-dropped-" in request))
    drain = sorted((round(at - draining, 2), request) for request, at in old.run_times.items()
                   if at > draining + DRAIN_S)
    record(f"CONFIG: {len(config)} requests sent over {CONFIG_S} s after the acknowledgement were "
           f"handled as only version 7 allows, the last {config[-1:]} s after it")
    record(f"DRAIN: {len(drain)} requests reached i-old over {DRAIN_S} s after it was acknowledged "
           f"as draining, the last {drain[-1:]}")
    statuses = {key: status for requester in requesters
                for key, status in requester.statuses.items()}
    lost = {request: statuses.get(request) for request in old.cut if "-once-" in request}
    record(f"accepted and lost: unsafe requests that i-old ran when it ended: {lost}")
    record(f"runs: i-old {len(old.runs)}, i-stays {len(stays.runs)}, i-newer {len(newer.runs)}")
    if not newer.runs:
        raise standins.CannotRun("version 9 never came into force")
    return bool(config or drain)


standins.main(os.path.dirname(os.path.abspath(__file__)), case)
