import http from 'node:http';
import test from 'ava';
import type {BatchItem} from '@radishyoke/core/batches/batch_record';
import type {RunEnd} from '@radishyoke/core/batches/schedule_action';
import {Generation} from '../generation.js';
import {
  type ConnectionEnding,
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
        new http.Agent(),
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
          onEnd: resolve,
        },
      );
    });
    t.deepEqual(seen, events);
    t.is(ended, end);
  });
}
