import http from 'node:http';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {createEntry} from '../../__tests__/gateway_fixtures.js';
import {EndpointLinks} from '../endpoint_links.js';

/** How long the server takes for an answer, ms. */
const ANSWER_MS = 150;

interface LinksFixture {
  readonly links: EndpointLinks;
  readonly entry: EndpointEntry;
  countConnections(): Promise<number>;
}

/** Starts a server that answers slowly, and links to it. */
async function createFixture(t: ExecutionContext): Promise<LinksFixture> {
  const links = new EndpointLinks();
  const server = http.createServer((req, res) => {
    req.resume();
    setTimeout(() => res.end('whole'), ANSWER_MS);
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  t.teardown(() => {
    links.close();
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as net.AddressInfo;
  return {
    links,
    entry: createEntry(port),
    countConnections: () =>
      new Promise(resolve =>
        server.getConnections((_err, count) => resolve(count)),
      ),
  };
}

/** Sends a request through the pool of `entry`; resolves with the answer, or with the error's message. */
function call(links: EndpointLinks, entry: EndpointEntry): Promise<string> {
  const {host, port} = entry;
  return new Promise(resolve => {
    const agent = links.getAgent(entry);
    const req = http.request({agent, host, port}, res => {
      let text = '';
      res.setEncoding('utf8').on('data', chunk => (text += chunk));
      res.on('end', () => resolve(text));
    });
    req.on('error', err => resolve(err.message));
    req.end();
  });
}

const isListed = () => true;
const isNotListed = () => false;

// Guards against an answer that is cut off because its endpoint left the list.
test('a request in flight outlives the removal of its endpoint', async t => {
  const {links, entry} = await createFixture(t);
  const answer = call(links, entry);
  await sleep(ANSWER_MS / 3);
  links.prune(isNotListed);
  t.is(await answer, 'whole');
});

// Guards against an answer that is cut off because the endpoint's entry names another address.
test('a request in flight outlives a change of the address', async t => {
  const {links, entry} = await createFixture(t);
  const answer = call(links, entry);
  await sleep(ANSWER_MS / 3);
  links.getAgent({...entry, port: entry.port + 1});
  t.is(await answer, 'whole');
});

test('connections to an earlier start are closed at once', async t => {
  const {links, entry} = await createFixture(t);
  const answer = call(links, entry);
  await sleep(ANSWER_MS / 3);
  links.getAgent({...entry, startedAtMs: entry.startedAtMs + 1});
  t.not(await answer, 'whole');
});

// Guards against pools and connections that pile up while endpoints are replaced all day.
test('nothing remains of an endpoint that left once its requests have ended', async t => {
  const {links, entry, countConnections} = await createFixture(t);
  for (let i = 0; i < 20; i++) {
    const each = {...entry, id: `endpoint-${i}`};
    const answers = [call(links, each), call(links, each)];
    if (i % 2 === 0) await Promise.all(answers);
    links.prune(id => id !== each.id);
    await Promise.all(answers);
  }
  // A connection leaves its pool only after the answer on it has ended.
  await sleep(20);
  links.prune(isListed);
  t.is(links.size, 0);
  t.is(await countConnections(), 0);
});
