"""A bad client names the open requests of another client as its own: does that client get its answers?"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import (ATTACH, DISPOSITION, FLOW, AmqpClient, AmqpServer, Discovery, Node, accepted, message,
                      parse_message, profile, run_case, settings)

SERVERS = 3
DELIVERIES = 12
ANSWER_S = 0.2
# The deadline of the class, and the half second after it in which an answer only earns nothing.
LATEST_S = 1.2 + 0.5


def body(case):
    record = case.record
    discovery = Discovery(record)
    ran = []

    def on_delivery(link, delivery_id, payload):
        name = parse_message(payload)[1].decode()
        ran.append(name)
        record(f"{link.connection.server.name}: runs {name}")
        threading.Timer(ANSWER_S, settle, (link, delivery_id, name)).start()

    def settle(link, delivery_id, name):
        try:
            link.settle(delivery_id, accepted())
            record(f"{link.connection.server.name}: accepted {name}")
        except OSError as error:
            record(f"{link.connection.server.name}: {error}")

    for number in range(1, SERVERS + 1):
        server = AmqpServer(case, f"s{number}", on_delivery)
        discovery.add(server.name, server.port)
    node = Node(case, "node", discovery.port, settings([profile("live-readings")]), discovery.document(), amqp={})
    node.wait_ready()

    # The client's link may be resumed: its target asks for a time-out of 10 s.
    client = AmqpClient(node.amqp_port, "archive-1")
    client.attach_sender("readings", "live-readings", timeout=10)
    client.expect(ATTACH)
    client.expect(FLOW)
    for number in range(DELIVERIES):
        client.transfer(b"t%d" % number, message(b"reading-%d" % number))
    sent = time.monotonic()
    record(f"archive-1: sent {DELIVERIES} deliveries on its link 'readings'")
    time.sleep(ANSWER_S / 2)
    if case.trouble:
        bad = AmqpClient(node.amqp_port, "archive-1")
        bad.attach_sender("readings", "live-readings", timeout=10)
        record(f"bad client: says it is archive-1 and attaches 'readings': {bad.expect(ATTACH)}")
    answers = {}
    closed = False
    while time.monotonic() < sent + LATEST_S + 2.0 and len(answers) < DELIVERIES and not closed:
        try:
            frame = client.receive(0.5)
        except TimeoutError:
            client.heartbeat()
            continue
        except ConnectionError as error:
            record(f"archive-1: {error}")
            closed = True
            continue
        record(f"archive-1: got {frame}")
        if frame.code == DISPOSITION:
            for number in range(frame.get(1), frame.get(2, frame.get(1)) + 1):
                answers[number] = time.monotonic() - sent
    late = [number for number in range(DELIVERIES) if answers.get(number, LATEST_S + 1) > LATEST_S]
    state = "closed" if closed else "open"
    record(f"{DELIVERIES} sent, {len(ran)} run, {len(answers)} answered; the connection of archive-1 is {state}")
    if late:
        return [f"{len(late)} of {DELIVERIES} deliveries that the node had taken have no answer "
                f"{LATEST_S} s after they were sent, on an {state} connection"]
    return []


run_case(os.path.dirname(os.path.abspath(__file__)), body)
