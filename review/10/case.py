"""A hall of AMQP subscribers is cut off and stays silent: does the node stay within its memory?"""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import (ATTACH, AmqpClient, AmqpServer, Discovery, Node, message, profile, run_case, settings)

SERVERS = 3
CLIENTS = 30
SIZE = 64_000
PER_S = 16
MEMORY_MB = 96
CUT_OFF_S = 9.0


def body(case):
    record = case.record
    discovery = Discovery(record)
    stop = threading.Event()
    sent = [0]

    def on_receiver(link):
        """Sends a message sixteen times a second, as far as the node grants credit."""
        link.connection.accept(link)
        payload = message(b"x" * SIZE)
        due = time.monotonic()
        while not stop.is_set() and not link.ended:
            if link.credit - link.sent > 0:
                link.send_message(payload)
                sent[0] += 1
            due += 1 / PER_S
            time.sleep(max(0.0, due - time.monotonic()))

    for number in range(1, SERVERS + 1):
        server = AmqpServer(case, f"s{number}", on_receiver=on_receiver)
        discovery.add(server.name, server.port)
    node = Node(case, "node", discovery.port, settings([profile("live-readings")]), discovery.document(), amqp={},
                memory_mb=MEMORY_MB)
    node.wait_ready()

    cut_off = threading.Event()
    read = [0] * CLIENTS
    ended = []

    def subscribe(number):
        client = AmqpClient(node.amqp_port, f"farm-{number}", window=2**31 - 1, max_segment=1460)
        client.attach_receiver("wind", "live-readings", settled=True)
        client.expect(ATTACH)
        client.grant(0, 100_000, window=2**31 - 1)
        beat = time.monotonic()
        client.sock.settimeout(1)
        try:
            while True:
                if cut_off.is_set():
                    time.sleep(0.1)
                    continue
                if time.monotonic() > beat + 2:
                    client.heartbeat()
                    beat = time.monotonic()
                try:
                    data = client.sock.recv(1 << 18)
                except socket.timeout:
                    continue
                if not data:
                    raise ConnectionError("closed")
                read[number] += len(data)
        except OSError as error:
            ended.append((number, str(error)))

    for number in range(CLIENTS):
        threading.Thread(target=subscribe, args=(number,), daemon=True).start()
    time.sleep(3.0)
    record(f"{CLIENTS} subscribers, {sum(map(bool, read))} of them get readings; "
           f"the node uses {node.resident_mb():.0f} MB")
    if case.trouble:
        cut_off.set()
        record(f"{CLIENTS} subscribers are cut off: they read and send nothing, their connections stay open")
    begun, largest, noted = time.monotonic(), 0.0, 0.0
    killed = False
    while time.monotonic() < begun + CUT_OFF_S and not killed:
        used = node.resident_mb()
        largest = max(largest, used)
        if time.monotonic() > noted + 0.5:
            record(f"the node uses {used:.0f} MB; servers have sent {sent[0]} messages, subscribers have read "
                   f"{sum(read) >> 20} MB")
            noted = time.monotonic()
        if used > MEMORY_MB:
            killed = True
            record(f"the node uses {used:.0f} MB of {MEMORY_MB} MB: the platform kills it")
            node.process.kill()
        time.sleep(0.02)
    stop.set()
    if killed:
        node.process.wait()
        time.sleep(0.5)
        record(f"exit status of the node: {node.process.returncode}")
        return [f"the node used over {MEMORY_MB} MB {time.monotonic() - begun - 0.5:.1f} s after subscribers were "
                f"cut off, and was killed with all its connections"]
    record(f"largest use {largest:.0f} MB; connections that ended: {ended}")
    return []


run_case(os.path.dirname(os.path.abspath(__file__)), body)
