import {createError} from '@radishyoke/shared/error_kind';
import {toIncarnationId, toVmId} from '@radishyoke/shared/ids';
import type {Stamp} from '@radishyoke/shared/log_record';
import type {Result} from '@radishyoke/shared/result';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import fc from 'fast-check';
import {AppendBudget} from '../append_budget.js';
import {type AppendResult, LogClient, type LogRead} from '../log_client.js';
import {LOG_WRITER_DEFAULTS, LogWriter} from '../log_writer.js';

interface TestRecord {
  readonly stamp: Stamp;
  readonly name: number;
}

type AppendOutcome = 'answered' | 'answer_lost' | 'delayed' | 'refused';

const ERROR = createError('log_unavailable');
const ANSWER_MS = 5;
const DELAY_MS = 700;
const SETTLE_MS = 60_000;

/** A log whose appends have the scripted outcomes, and succeed after those. */
class ScriptedClient extends LogClient {
  readonly records: TestRecord[] = [];
  appends = 0;
  inFlight = 0;
  maxInFlight = 0;

  constructor(private readonly outcomes: AppendOutcome[]) {
    super();
  }

  override async append(
    _stream: string,
    values: readonly unknown[],
  ): Promise<AppendResult> {
    this.appends++;
    this.maxInFlight = Math.max(this.maxInFlight, ++this.inFlight);
    const outcome = this.outcomes.shift() ?? 'answered';
    const first = this.records.length;
    const store = () => this.records.push(...(values as TestRecord[]));
    if (outcome === 'delayed') setTimeout(store, DELAY_MS);
    if (outcome === 'answered' || outcome === 'answer_lost') store();
    await new Promise(resolve => setTimeout(resolve, ANSWER_MS));
    this.inFlight--;
    if (outcome === 'refused') return {kind: 'refused', error: ERROR};
    if (outcome !== 'answered') return {kind: 'unknown', error: ERROR};
    return {kind: 'appended', first, next: first + values.length};
  }

  override async read(): Promise<Result<LogRead>> {
    return {ok: false, error: ERROR};
  }

  override async close(): Promise<void> {}
}

function createWriter(client: LogClient, maxPending: number) {
  return new LogWriter<TestRecord, number>(client, new AppendBudget(20), {
    ...LOG_WRITER_DEFAULTS,
    stream: 'state',
    vm: toVmId('a'),
    incarnation: toIncarnationId('i1'),
    maxPending,
  });
}

/** Periodically settles the stored records in order, as the VM's reader would. */
function startReadBack(
  writer: LogWriter<TestRecord, number>,
  client: ScriptedClient,
) {
  let next = 0;
  return setInterval(() => {
    for (; next < client.records.length; next++) {
      const {stamp, name} = client.records[next]!;
      writer.settle(stamp, name);
    }
  }, 30);
}

// Guards against a commit that is lost or counted twice after responses of the log were
// lost or appends were delayed and overtook one another.
test.serial('each record is stored once and in sequence order', async t => {
  const outcomeArb = fc.constantFrom<AppendOutcome>(
    'answered',
    'answer_lost',
    'delayed',
    'refused',
  );
  const waitsArb = fc.array(fc.nat(300), {minLength: 1, maxLength: 20});
  const details = await fc.check(
    fc.asyncProperty(
      fc.array(outcomeArb, {maxLength: 12}),
      waitsArb,
      async (outcomes, waits) => {
        const clock = FakeTimers.install();
        try {
          const client = new ScriptedClient([...outcomes]);
          const writer = createWriter(client, 100);
          const reader = startReadBack(writer, client);
          const results: Array<Promise<Result<number>>> = [];
          for (const [name, waitMs] of waits.entries()) {
            results.push(writer.append({name}));
            await clock.tickAsync(waitMs);
          }
          await clock.tickAsync(SETTLE_MS);
          clearInterval(reader);
          const settled = await Promise.all(results);
          const names = settled.map(result => (result.ok ? result.value : -1));
          let highest = 0;
          const counted = client.records.filter(({stamp}) => {
            const isFirst = stamp.seq > highest;
            highest = Math.max(highest, stamp.seq);
            return isFirst;
          });
          const expected = waits.map((_, name) => name);
          return (
            names.join() === expected.join() &&
            counted.map(record => record.name).join() === expected.join() &&
            client.maxInFlight === 1
          );
        } finally {
          clock.uninstall();
        }
      },
    ),
    {seed: 8, numRuns: 150},
  );
  t.deepEqual(details.counterexample, null);
});

// Guards against memory growing without limit while the log is down, and against a
// refusal as "not run" of a record that is written after all.
test.serial(
  'records refused by a full buffer are not written, and appends keep to the budget',
  async t => {
    const clock = FakeTimers.install();
    const client = new ScriptedClient([]);
    const writer = createWriter(client, 8);
    const reader = startReadBack(writer, client);
    const results = Array.from({length: 10}, (_, name) =>
      writer.append({name}),
    );
    const refused = await Promise.all(results.slice(8));
    t.true(refused.every(result => !result.ok));
    await clock.tickAsync(1000);
    t.is(client.records.length, 8);
    t.is(client.appends, 1, 'pending records are sent in one append');
    for (let i = 0; i < 200; i++) {
      void writer.append({name: i});
      await clock.tickAsync(10);
    }
    const seconds = 3;
    t.true(client.appends <= 1 + 4 + 20 * seconds);
    clearInterval(reader);
    writer.close();
    clock.uninstall();
  },
);
