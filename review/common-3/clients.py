"""Clients of a small deployment, as PROTOCOL.md describes them."""

import asyncio
import random

from world import ACK, FIN, OPENING_END, OPENING_TIMES, RST, SYN, Parsed, now, packet, udp


class Clients:
    """The clients' hosts and their open flows. `sent` has when each opening packet was sent, by its flow and copy; `sender` is
    the host from which the latest packet came."""

    def __init__(self, world):
        self.world, self.flows, self.sockets, self.sent, self.sender = world, {}, {}, {}, None

    async def add_host(self, ip):
        self.sockets[ip] = await udp((ip, self.world.ingress), self.received)

    def received(self, raw, sender):
        got, self.sender = Parsed(raw), sender
        if (client := self.flows.get(got.target)) is not None:
            client.received(got)

    def flow(self, zone, source, route):
        """@returns a new flow of a client in a zone, from an address and port to those of a route"""
        self.flows[source] = Client(self, zone, (source, route))
        return self.flows[source]


class Client:
    """One flow of one client."""

    def __init__(self, clients, zone, ends):
        self.clients, self.zone, self.ends, self.echo, self.event = clients, zone, ends, 0, asyncio.Event()
        self.seq, self.peer, self.is_open, self.is_reset, self.answer = random.getrandbits(31), 0, False, False, None

    def send(self, flags, seq, ack, data=b""):
        world = self.clients.world
        machine = world.machine_for(self.zone, self.ends)
        self.clients.sockets[self.ends[0][0]].sendto(packet(flags, seq, ack, *self.ends, self.echo, data), (machine["ip"], world.ingress))

    def received(self, got):
        if got.flags & RST:
            self.is_reset = True
        elif got.flags & SYN and not self.is_open:
            self.is_open, self.echo, self.peer = True, got.echo, got.seq + 1
            self.seq += 1
            self.send(ACK, self.seq, self.peer)
        elif got.data and got.seq == self.peer & 0xFFFFFFFF:
            self.peer += len(got.data)
            self.echo, self.answer = got.echo, got.data
            self.send(ACK, self.seq, self.peer)
        self.event.set()

    async def open(self):
        begun = now()
        for copy, (at, until) in enumerate(zip(OPENING_TIMES, (*OPENING_TIMES[1:], OPENING_END))):
            self.clients.sent[self.ends, copy] = now()
            self.send(SYN, self.seq, copy)
            while not self.is_open and not self.is_reset and now() < begun + until:
                self.event.clear()
                try:
                    await asyncio.wait_for(self.event.wait(), begun + until - now())
                except asyncio.TimeoutError:
                    pass
            if self.is_open or self.is_reset:
                break
        return self.is_open

    async def request(self, body):
        self.answer, begun = None, now()
        self.send(ACK, self.seq, self.peer, body)
        while self.answer is None and not self.is_reset and now() < begun + 1:
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), 0.2)
            except asyncio.TimeoutError:
                self.send(ACK, self.seq, self.peer, body)
        self.seq += len(body)
        return self.answer

    def close(self):
        self.send(FIN | ACK, self.seq, self.peer)
