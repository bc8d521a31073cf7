"""One of six feed servers takes messages and never settles them: what do the others get?"""

import hashlib
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import (ACCEPTED, ATTACH, DISPOSITION, FLOW, AmqpClient, AmqpServer, Discovery, Node, accepted, message,
                      profile, run_case, settings)

SERVERS = 6
HANG_S = 6.2
MESSAGES = 40
SIZE = 200_000


def body_of(payload):
    """What follows the header of a message, which the node may change."""
    if payload[:3] == b"\x00\x53\x70":
        size = payload[4] + 2 if payload[3] == 0xc0 else 1 if payload[3] == 0x45 else 0
        return payload[3 + size:]
    return payload


def digest(data):
    return f"{len(data)} octets {hashlib.sha256(data).hexdigest()[:12]}"


def body(case):
    record = case.record
    discovery = Discovery(record)
    hanging = threading.Event()
    got, accepted_by_server = [], set()

    def on_delivery(link, delivery_id, payload):
        server = link.connection.server.name
        got.append((server, body_of(payload)))
        if server == "s1" and hanging.is_set():
            record(f"{server}: took {digest(body_of(payload))} and does not settle it")
            return
        record(f"{server}: ran {digest(body_of(payload))}: accepted")
        accepted_by_server.add(body_of(payload))
        link.settle(delivery_id, accepted())

    servers = [AmqpServer(case, f"s{number}", on_delivery) for number in range(1, SERVERS + 1)]
    for server in servers:
        discovery.add(server.name, server.port)
    node = Node(case, "node", discovery.port, settings([profile("series-replay")]), discovery.document(), amqp={})
    node.wait_ready()

    client = AmqpClient(node.amqp_port, "archive-1")
    client.attach_sender("replay", "series-replay")
    client.expect(ATTACH)
    client.expect(FLOW)
    sent, answers = {}, {}

    def read():
        try:
            while True:
                try:
                    frame = client.receive(1)
                except TimeoutError:
                    client.heartbeat()
                    continue
                if frame.code == DISPOSITION:
                    for number in range(frame.get(1), frame.get(2, frame.get(1)) + 1):
                        state = frame.get(4)
                        answers[number] = state.code if state else None
                        record(f"archive-1: delivery {number} is answered {state}")
        except OSError as error:
            record(f"archive-1: {error}")

    threading.Thread(target=read, daemon=True).start()
    if case.trouble:
        hanging.set()
        record(f"s1 hangs for {HANG_S} s: it takes messages and settles none")
    begun = time.monotonic()
    for number in range(MESSAGES):
        payload = message(b"%08d" % number * (SIZE // 8), group=f"set-{number}")
        sent[number] = body_of(payload)
        client.transfer(b"t%d" % number, payload)
        record(f"archive-1: sent delivery {number}: {digest(sent[number])}")
        time.sleep(0.15)
    time.sleep(max(0.0, begun + HANG_S - time.monotonic()))
    hanging.clear()
    time.sleep(2.0)

    record(f"{len(sent)} sent, {len(answers)} answered, {sum(s == ACCEPTED for s in answers.values())} accepted")
    known = set(sent.values())
    breaches = [f"{server} got a message that no client sent: {digest(data)}"
                for server, data in got if data not in known]
    breaches += [f"delivery {number} is answered accepted, and no server has accepted it: it got a part of it"
                 for number, data in sent.items() if answers.get(number) == ACCEPTED and data not in accepted_by_server]
    return breaches


run_case(os.path.dirname(os.path.abspath(__file__)), body)
