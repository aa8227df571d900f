"""All processes are killed and started again while the store turns six of eight gateways away."""

import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins  # noqa: E402

RECOVER_S = 12.0
CONTACT_S = 3.0
HALLS = ["hall-a"] * 3 + ["hall-b"] * 3 + ["hall-c"] * 2
TURNED_AWAY = {1, 2, 4, 5, 7, 8}


def plan(_server, _request):
    time.sleep(0.02)
    return 200, [], b"ok"


class Requester(threading.Thread):
    def __init__(self, number, site, record):
        super().__init__(daemon=True)
        self.number, self.site, self.record = number, site, record
        self.results, self.stop = [], False

    def run(self):
        count = 0
        while not self.stop:
            count += 1
            request_id = f"q{self.number}-{count}"
            sent, status = time.monotonic(), "none"
            name = f"front-{(self.number + count) % 8 + 1}"
            try:
                with socket.create_connection(self.site.front(name), 1) as conn:
                    conn.settimeout(5)
                    conn.sendall(standins.request_bytes("GET", f"/kept/{request_id}", request_id, 4000))
                    status = conn.recv(65536)[9:12].decode()
            except OSError as error:
                status = str(error)
            self.results.append((sent, status))
            self.record(f"{request_id} at {name}: {status}")
            time.sleep(0.1)


def case(site, record, trouble):
    store = site.store
    site.seeds = (1, 4, 7)
    store.put("config", "main", standins.config(7, [standins.route("/kept/", "safe")]))
    standins.Server(site.ip(100), record, "i-1", plan, store)
    standins.Server(site.ip(101), record, "i-2", plan, store)
    doors = {}
    for number, hall in enumerate(HALLS, 1):
        doors[number] = standins.Door(site.ip(200 + number), store)
        site.start(f"front-{number}", number, hall, store=doors[number].text)
    for number in doors:
        site.wait_ready(f"front-{number}")
    time.sleep(CONTACT_S + 1.0)
    requesters = [Requester(number, site, record) for number in range(8)]
    for requester in requesters:
        requester.start()
    time.sleep(5)
    if trouble:
        for number in TURNED_AWAY:
            doors[number].is_shut = True
        record(f"the store is silent to front-{sorted(TURNED_AWAY)}")
    time.sleep(1)
    store.put("config", "main", standins.config(9, [standins.route("/kept/", "safe")]))
    fault = time.monotonic()
    record("version 9 acknowledged; final fault: all processes are killed")
    for number in doors:
        site.signal(f"front-{number}", signal.SIGKILL)
    for number in doors:
        site.processes[f"front-{number}"].wait()
    time.sleep(1)
    for number, hall in enumerate(HALLS, 1):
        site.start(f"front-{number}", number, hall, store=doors[number].text)
    up = time.monotonic()
    time.sleep(RECOVER_S + 4)
    for requester in requesters:
        requester.stop = True
    for requester in requesters:
        requester.join(6)
    results = [result for requester in requesters for result in requester.results]
    before = [status for sent, status in results if sent < fault]
    after = [status for sent, status in results if sent > up + RECOVER_S]
    record(f"before: {before.count('200')} of {len(before)} served")
    record(f"RECOVER: {after.count('200')} of {len(after)} served")
    os.system(f"cp -r {site.folder} /tmp/w/xlogs")
    return after.count("200") * 4 < len(after)


standins.main(os.path.dirname(os.path.abspath(__file__)), case)
