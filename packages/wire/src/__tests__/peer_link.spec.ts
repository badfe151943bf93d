import {createServer, Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import type {GossipMessage} from '@radishyoke/core/membership/gossip_message';
import type {Member} from '@radishyoke/core/membership/member';
import {toVmId} from '@radishyoke/shared/ids';
import {WebSocket} from 'ws';
import {PeerCounters} from '../peer_counters.js';
import {
  LinkEnd,
  openPeerLink,
  PeerLink,
  PeerLinkHandler,
  PeerLinkOptions,
} from '../peer_link.js';
import {PeerServer} from '../peer_server.js';
import {createMember} from './peer_fixture.js';

const MESSAGE: GossipMessage = {kind: 'config_request', from: 7};

/** A handler that resolves a promise on the first call of each callback. */
class Recorder implements PeerLinkHandler {
  readonly openedBy = createSignal<Member>();
  readonly message = createSignal<GossipMessage>();
  readonly end = createSignal<LinkEnd>();

  onOpened(_: PeerLink, peer: Member): void {
    this.openedBy.resolve(peer);
  }

  onMessage(_: PeerLink, message: GossipMessage): void {
    this.message.resolve(message);
  }

  onEnded(_: PeerLink, end: LinkEnd): void {
    this.end.resolve(end);
  }
}

function createSignal<T>() {
  let resolve!: (value: T) => void;
  const value = new Promise<T>(res => (resolve = res));
  return {value, resolve: (v: T) => resolve(v)};
}

function createOptions(
  fields: Partial<PeerLinkOptions> & {readonly id?: string} = {},
): PeerLinkOptions {
  const {id = 'vm-1', ...rest} = fields;
  return {
    sharedKey: 'a key of some length',
    maxMessageBytes: 4096,
    describeSelf: () => createMember({id: toVmId(id)}),
    counters: new PeerCounters(),
    ...rest,
  };
}

async function createServerFixture(fields: Partial<PeerLinkOptions> = {}) {
  const options = createOptions({...fields, id: 'server'} as never);
  const recorder = new Recorder();
  const server = new PeerServer(options, recorder);
  const address = await server.listen('127.0.0.1:0');
  return {server, address, recorder, counters: options.counters};
}

test('two VMs with the same key exchange messages', async t => {
  const {server, address, recorder} = await createServerFixture();
  const client = new Recorder();
  const link = openPeerLink(address, createOptions({id: 'client'}), client);
  t.is((await client.openedBy.value).id, toVmId('server'));
  t.is((await recorder.openedBy.value).id, toVmId('client'));
  link.send(MESSAGE);
  t.deepEqual(await recorder.message.value, MESSAGE);
  link.close();
  t.is(await recorder.end.value, 'closed');
  await server.close();
});

test('a peer without the key is dropped and counted', async t => {
  const {server, address, recorder, counters} = await createServerFixture();
  const client = new Recorder();
  openPeerLink(address, createOptions({sharedKey: 'another key'}), client);
  t.is(await recorder.end.value, 'unauthorized');
  t.is(await client.end.value, 'closed');
  t.is(counters.unauthorized, 1);
  t.is(counters.opened, 0);
  await server.close();
});

interface MalformedCase {
  readonly name: string;
  readonly data: Buffer;
}

const MALFORMED: readonly MalformedCase[] = [
  {name: 'empty', data: Buffer.alloc(0)},
  {name: 'noise', data: Buffer.from([0xc1, 0xff, 0x00])},
  {name: 'text', data: Buffer.from('GET / HTTP/1.1')},
  {name: 'over the size limit', data: Buffer.alloc(5000, 1)},
];

for (const {name, data} of MALFORMED) {
  test(`malformed first message, ${name}, ends the connection`, async t => {
    const {server, address, recorder, counters} = await createServerFixture();
    const socket = new WebSocket(`ws://${address}`);
    socket.on('error', () => {});
    socket.on('open', () => socket.send(data));
    t.is(await recorder.end.value, 'malformed');
    t.is(counters.opened, 0);
    t.is(counters.malformed, 1);
    await server.close();
  });
}

// Guards against a peer that appears connected although no data arrives: a device in
// between drops the connection's state, so bytes are lost in both directions and TCP
// reports no error at either end, while a new connection would work.
test('a connection that went silent ends within seconds', async t => {
  const {server, address, recorder} = await createServerFixture();
  const relay = await createRelay(address);
  const client = new Recorder();
  const options = createOptions({id: 'client'});
  openPeerLink(relay.address, options, client);
  await client.openedBy.value;
  relay.silence();
  t.is(await client.end.value, 'silent');
  t.is(await recorder.end.value, 'silent');
  t.is(options.counters.silent, 1);
  const second = new Recorder();
  const link = openPeerLink(relay.address, options, second);
  t.is((await second.openedBy.value).id, toVmId('server'));
  link.close();
  relay.close();
  await server.close();
});

/** A TCP relay; `silence` makes it drop all further bytes of the open connections. */
async function createRelay(target: string) {
  const [host, port] = target.split(':');
  const sockets = new Set<Socket>();
  const silenced = new Set<Socket>();
  const pipe = (from: Socket, to: Socket) => {
    sockets.add(from);
    from.on('data', data => {
      if (!silenced.has(from)) to.write(data);
    });
    from.on('error', () => {});
    from.on('close', () => {
      if (!silenced.has(from)) to.destroy();
    });
  };
  const server = createServer(inbound => {
    const outbound = new Socket().connect(Number(port), host);
    pipe(inbound, outbound);
    pipe(outbound, inbound);
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    silence: () => sockets.forEach(socket => silenced.add(socket)),
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
