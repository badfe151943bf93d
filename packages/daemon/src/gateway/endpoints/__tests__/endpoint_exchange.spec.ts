import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {
  EndpointExchange,
  type ExchangeOutcome,
  type ExchangeRequest,
} from '../endpoint_exchange.js';
import {EndpointLinks} from '../endpoint_links.js';
import {EndpointStream, type StreamOutcome} from '../endpoint_stream.js';
import {callOnce} from '../http_call.js';
import {
  createEntry,
  type ConnectionEnding,
  PlainProtocol,
  startRawServer,
} from '../../__tests__/gateway_fixtures.js';

const HEAD = 'HTTP/1.1 200 OK\r\nId: a1\r\nStamp: s\r\n';

/** Texts that Node.js refuses when the request is made. */
const UNMADE: ReadonlyArray<Partial<ExchangeRequest>> = [
  {path: '/a b'},
  {path: '/\u0131'},
  {headers: {title: 'kod\u0131'}},
  {headers: {'ti tle': 'a'}},
];
const REQUEST: ExchangeRequest = {
  method: 'POST',
  path: '/',
  headers: {},
  body: Buffer.from('ask'),
  attemptId: 'a1',
};

// Guards against a process that ends because nobody waits for the error of a request that could not be made.
test('a request that can not be made ends as unsent', async t => {
  const agent = new http.Agent();
  const protocol = new PlainProtocol();
  const reader = {
    onHead: () => undefined,
    onEvent: () => true,
    waitForDrain: () => undefined,
  };
  for (const extra of UNMADE) {
    const entry = createEntry(1);
    const req = {...REQUEST, ...extra};
    const exchange = new EndpointExchange(agent, protocol, entry);
    t.is((await exchange.run(req)).kind, 'unsent');
    const stream = new EndpointStream(agent, protocol, entry, reader);
    t.is((await stream.run(req)).kind, 'unsent');
    const call = {...entry, ...req, timeoutMs: 10};
    t.is((await callOnce(agent, call)).kind, 'unsent');
  }
  const call = {...REQUEST, host: '127.0.0.1', port: 99_999, timeoutMs: 10};
  t.is((await callOnce(agent, call)).kind, 'unsent');
  // A timer that is left behind would fail now.
  await sleep(30);
});

interface FaultCase {
  readonly name: string;
  readonly text: string;
  readonly ending: ConnectionEnding;
  readonly expected: ExchangeOutcome['kind'];
}

const CASES: readonly FaultCase[] = [
  {
    name: 'a complete answer is accepted',
    text: `${HEAD}Content-Length: 4\r\n\r\nbody`,
    ending: 'keep',
    expected: 'answered',
  },
  {
    name: 'an answer without a length ends with its connection',
    text: `${HEAD}Connection: close\r\n\r\nbody`,
    ending: 'end',
    expected: 'answered',
  },
  {
    name: 'an answer without a length that is reset is incomplete',
    text: `${HEAD}Connection: close\r\n\r\nbo`,
    ending: 'reset',
    expected: 'unknown',
  },
  {
    name: 'an answer without a length whose reset arrives with it is incomplete',
    text: `${HEAD}Connection: close\r\n\r\nbo`,
    ending: 'reset_at_once',
    expected: 'unknown',
  },
  {
    name: 'an answer with a length is complete, also if a reset arrives with it',
    text: `${HEAD}Content-Length: 4\r\n\r\nbody`,
    ending: 'reset_at_once',
    expected: 'answered',
  },
  {
    name: 'a failure without a length whose reset arrives with it is incomplete',
    text: 'HTTP/1.1 500 No\r\nId: a1\r\nStamp: s\r\nConnection: close\r\n\r\nbo',
    ending: 'reset_at_once',
    expected: 'unknown',
  },
  {
    name: 'an answer that is shorter than its Content-Length is incomplete',
    text: `${HEAD}Content-Length: 9\r\n\r\nbody`,
    ending: 'end',
    expected: 'unknown',
  },
  {
    name: 'a chunked answer without its last chunk is incomplete',
    text: `${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n`,
    ending: 'end',
    expected: 'unknown',
  },
  {
    name: 'an answer to another request is rejected',
    text: 'HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\nContent-Length: 4\r\n\r\nbody',
    ending: 'keep',
    expected: 'unknown',
  },
  {
    name: 'a success without proof of origin is rejected',
    text: 'HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 4\r\n\r\nbody',
    ending: 'keep',
    expected: 'unknown',
  },
  {
    name: 'an encoded body is rejected',
    text: `${HEAD}Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody`,
    ending: 'keep',
    expected: 'unknown',
  },
  {
    name: 'bytes that are no HTTP answer are rejected',
    text: 'what is this\r\n\r\n',
    ending: 'keep',
    expected: 'unknown',
  },
  {
    name: 'a failure status with proof of origin is accepted',
    text: 'HTTP/1.1 500 No\r\nId: a1\r\nStamp: s\r\nContent-Length: 0\r\n\r\n',
    ending: 'keep',
    expected: 'answered',
  },
  {
    name: 'an endpoint can state that it did not run the request',
    text: 'HTTP/1.1 503 Full\r\nId: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n',
    ending: 'keep',
    expected: 'not_executed',
  },
  {
    name: 'a misdirected request was not run',
    text: 'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n',
    ending: 'keep',
    expected: 'not_executed',
  },
];

function runExchange(port: number): Promise<ExchangeOutcome> {
  const entry = createEntry(port);
  const agent = new EndpointLinks().getAgent(entry);
  const exchange = new EndpointExchange(agent, new PlainProtocol(), entry);
  return exchange.run({
    method: 'POST',
    path: '/x',
    headers: {host: 'h'},
    body: Buffer.from('ask'),
    attemptId: 'a1',
  });
}

// Guards against a caller receiving a partial body or the answer to another request as a
// success, when an endpoint truncates, corrupts, duplicates or mixes up its answers.
for (const {name, text, ending, expected} of CASES) {
  test(name, async t => {
    const server = await startRawServer(text, ending);
    t.teardown(() => server.close());
    const outcome = await runExchange(server.entry.port);
    t.is(outcome.kind, expected);
    if (outcome.kind === 'answered' && outcome.answer.status === 200) {
      t.is(outcome.answer.body.toString(), 'body');
    }
  });
}

test('a long answer without a length is read whole', async t => {
  const body = 'x'.repeat(4 * 1024 * 1024);
  const text = `${HEAD}Connection: close\r\n\r\n${body}`;
  const server = await startRawServer(text, 'end');
  t.teardown(() => server.close());
  const outcome = await runExchange(server.entry.port);
  t.is(outcome.kind === 'answered' && outcome.answer.body.length, body.length);
});

/** Reads a stream whose reader takes a pause after each event. */
async function runStream(
  t: ExecutionContext,
  text: string,
  ending: ConnectionEnding,
): Promise<{readonly events: number; readonly kind: StreamOutcome['kind']}> {
  const {entry, close} = await startRawServer(text, ending);
  t.teardown(close);
  let events = 0;
  const reader = {
    onHead: () => undefined,
    onEvent: () => ++events > 0,
    waitForDrain: () => sleep(1),
  };
  const agent = new EndpointLinks().getAgent(entry);
  const stream = new EndpointStream(agent, new PlainProtocol(), entry, reader);
  const {kind} = await stream.run(REQUEST);
  return {events, kind};
}

const STREAM_EVENTS = 2000;

/** A stream without a length, of so many events that its reader pauses before the end. */
function createStreamText(): string {
  const events = Array.from(
    {length: STREAM_EVENTS},
    (_, i) => `id: ${i}\ndata: ${i}\n\n`,
  );
  return `${HEAD}Connection: close\r\n\r\n${events.join('')}`;
}

// Guards against a stream that is broken off although all of it arrived, as its connection closed while its reader paused.
test('a stream without a length that ends in order is whole', async t => {
  const outcome = await runStream(t, createStreamText(), 'end');
  t.deepEqual(outcome, {events: STREAM_EVENTS, kind: 'whole'});
});

// Guards against a caller's stream that ends early and looks complete.
test('a stream without a length whose reset arrives with it is not whole', async t => {
  const {kind} = await runStream(t, createStreamText(), 'reset_at_once');
  t.is(kind, 'unknown');
});

test('a request without a connection is unsent', async t => {
  const server = await startRawServer('', 'keep');
  await server.close();
  t.is((await runExchange(server.entry.port)).kind, 'unsent');
});
