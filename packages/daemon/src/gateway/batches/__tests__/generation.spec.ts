import http, {type IncomingHttpHeaders} from 'node:http';
import test from 'ava';
import type {BatchItem} from '@radishyoke/core/batches/batch_record';
import type {RunEnd} from '@radishyoke/core/batches/schedule_action';
import type {AnswerMetadata} from '../../endpoints/endpoint_protocol.js';
import {EndpointLinks} from '../../endpoints/endpoint_links.js';
import {Generation} from '../generation.js';
import {
  type ConnectionEnding,
  createEntry,
  PlainProtocol,
  startRawServer,
} from '../../__tests__/gateway_fixtures.js';

const ITEM: BatchItem = {
  id: 'a1',
  group: 'g',
  path: '/x',
  headers: {},
  body: Buffer.from('ask'),
  promptTokens: 1,
  maxOutputTokens: 10,
  expectedOutputTokens: 5,
};

const HEAD =
  'HTTP/1.1 200 OK\r\nId: a1\r\nStamp: s\r\nVersion: 6\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n';

// Guards against a coordinator that ends because one of its items can not be sent.
test('a run whose request can not be made ends, after its owner knows it', async t => {
  const agent = new http.Agent();
  const terms = {
    endpointId: 'e1',
    host: 'h',
    deadlineMs: 100,
    caller: {kind: 'unchecked'},
  } as const;
  const order: string[] = [];
  await new Promise<void>(resolve => {
    const item = {...ITEM, path: '/a b'};
    const events = {
      onEvent: () => undefined,
      onSlowdown: () => undefined,
      onEnd: (end: RunEnd) => {
        order.push(end);
        resolve();
      },
    };
    const protocol = new PlainProtocol();
    new Generation(agent, protocol, createEntry(1), item, terms, events);
    order.push('created');
  });
  t.deepEqual(order, ['created', 'unreachable']);
});

/** More than is read of an answer without end, bytes. */
const ENDLESS_BYTES = 512 * 1024;

interface GenerationCase {
  readonly name: string;
  readonly text: string;
  readonly ending: ConnectionEnding;
  readonly events: readonly string[];
  readonly end: RunEnd;
}

const CASES: readonly GenerationCase[] = [
  {
    name: 'events have the weight version that made them',
    text: `${HEAD}id: 1\ndata: x\n\nversion: 7\nid: 2\ndata: y\n\n`,
    ending: 'end',
    events: ['1:x@6', '2:y@7'],
    end: 'finished',
  },
  {
    name: 'an event that was cut off is not passed on',
    text: `${HEAD}id: 1\ndata: x\n\nid: 2\ndata: half`,
    ending: 'reset',
    events: ['1:x@6'],
    end: 'broken',
  },
  {
    name: 'a text that ends in order in the middle of an event is not complete',
    text: `${HEAD}id: 1\ndata: x\n\nid: 2\ndata: half\n`,
    ending: 'end',
    events: ['1:x@6'],
    end: 'broken',
  },
  {
    name: 'a text whose reset arrives with its last event is not complete',
    text: `${HEAD}id: 1\ndata: x\n\n`,
    ending: 'reset_at_once',
    events: ['1:x@6'],
    end: 'broken',
  },
  {
    name: 'a text may end its lines with carriage returns, too',
    text: `${HEAD}id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n`,
    ending: 'end',
    events: ['1:x@6', '2:y@6'],
    end: 'finished',
  },
  {
    name: 'an event without an id breaks the run',
    text: `${HEAD}data: x\n\n`,
    ending: 'end',
    events: [],
    end: 'broken',
  },
  {
    name: 'status 422 means that the item can never be done',
    text: 'HTTP/1.1 422 No\r\nId: a1\r\nContent-Length: 0\r\n\r\n',
    ending: 'keep',
    events: [],
    end: 'impossible',
  },
  {
    name: 'status 500 means that the attempt failed',
    text: 'HTTP/1.1 500 No\r\nId: a1\r\nContent-Length: 0\r\n\r\n',
    ending: 'keep',
    events: [],
    end: 'failed',
  },
  {
    name: 'a full engine refuses the run',
    text: 'HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n',
    ending: 'keep',
    events: [],
    end: 'refused',
  },
  {
    name: 'status 421 means that another engine has the address',
    text: 'HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n',
    ending: 'keep',
    events: [],
    end: 'misdirected',
  },
  {
    name: 'the output of another item is rejected',
    text: HEAD.replace('Id: a1', 'Id: b2') + 'id: 1\ndata: x\n\n',
    ending: 'end',
    events: [],
    end: 'broken',
  },
  {
    name: 'a failure whose answer is cut off is not counted as one',
    text: 'HTTP/1.1 500 No\r\nId: a1\r\nContent-Length: 9\r\n\r\nhalf',
    ending: 'end',
    events: [],
    end: 'broken',
  },
  {
    name: 'a line without end is a flood',
    text: `${HEAD}data: ${'x'.repeat(ENDLESS_BYTES)}`,
    ending: 'keep',
    events: [],
    end: 'flooded',
  },
  {
    name: 'an event of lines without end is a flood',
    text: `${HEAD}${'data: x\n'.repeat(ENDLESS_BYTES / 8)}`,
    ending: 'keep',
    events: [],
    end: 'flooded',
  },
  {
    name: 'comments without end are a flood',
    text: `${HEAD}${': nothing\n\n'.repeat(ENDLESS_BYTES / 8)}`,
    ending: 'keep',
    events: [],
    end: 'flooded',
  },
  {
    name: 'a failure with a body without end is a flood',
    text: `HTTP/1.1 500 No\r\nId: a1\r\n\r\n${'x'.repeat(ENDLESS_BYTES)}`,
    ending: 'keep',
    events: [],
    end: 'flooded',
  },
  {
    name: 'interim answers without end are a flood',
    text: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100),
    ending: 'keep',
    events: [],
    end: 'flooded',
  },
];

// Guards against samples that are truncated or contain parts of another text. An
// engine may fail in the middle of an event or answer for another item, and the
// output received so far must not be taken for complete.
for (const {name, text, ending, events, end} of CASES) {
  test(name, async t => {
    const server = await startRawServer(text, ending);
    t.teardown(() => server.close());
    const seen: string[] = [];
    const ended = await new Promise<RunEnd>(resolve => {
      new Generation(
        new EndpointLinks().getAgent(server.entry),
        new PlainProtocol(),
        server.entry,
        ITEM,
        {
          endpointId: 'e1',
          host: 'h',
          deadlineMs: 1000,
          caller: {kind: 'unchecked'},
        },
        {
          onEvent: ({id, data, version}) =>
            seen.push(`${id}:${data}@${version}`),
          onSlowdown: () => undefined,
          onEnd: resolve,
        },
      );
    });
    t.deepEqual(seen, events);
    t.is(ended, end);
  });
}

/** Reads a load report from the header `Slowdown`. */
class LoadProtocol extends PlainProtocol {
  override readAnswer(headers: IncomingHttpHeaders): AnswerMetadata {
    const slowdown = Number(headers['slowdown']);
    const load = {running: 1, waiting: 0, slots: 8, slowdown};
    return {...super.readAnswer(headers), load};
  }
}

interface SlowdownCase {
  readonly name: string;
  readonly text: string;
  readonly expected: readonly number[];
}

const SLOWDOWNS: readonly SlowdownCase[] = [
  {
    name: 'with its output is passed on',
    text: HEAD.replace('Stamp', 'Slowdown: 2.5\r\nStamp'),
    expected: [2.5],
  },
  {
    name: 'with a refusal is passed on',
    text: 'HTTP/1.1 503 Full\r\nStamp: s\r\nSlowdown: 2\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n',
    expected: [2],
  },
  {
    name: 'of another engine at the address is not passed on',
    text: 'HTTP/1.1 421 No\r\nStamp: s\r\nSlowdown: 2\r\nContent-Length: 0\r\n\r\n',
    expected: [],
  },
  {
    name: 'without a stamp is not passed on',
    text: 'HTTP/1.1 503 No\r\nSlowdown: 2\r\nContent-Length: 0\r\n\r\n',
    expected: [],
  },
];

// Guards against an engine that is avoided because of what another one reported.
for (const {name, text, expected} of SLOWDOWNS) {
  test(`the slowdown that an engine reports ${name}`, async t => {
    const server = await startRawServer(text, 'end');
    t.teardown(() => server.close());
    const seen: number[] = [];
    await new Promise<RunEnd>(resolve => {
      new Generation(
        new http.Agent(),
        new LoadProtocol(),
        server.entry,
        ITEM,
        {
          endpointId: 'e1',
          host: 'h',
          deadlineMs: 1000,
          caller: {kind: 'unchecked'},
        },
        {
          onEvent: () => undefined,
          onSlowdown: slowdown => seen.push(slowdown),
          onEnd: resolve,
        },
      );
    });
    t.deepEqual(seen, expected);
  });
}
