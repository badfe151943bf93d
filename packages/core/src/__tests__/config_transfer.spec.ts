import type {ConfigRecord} from '@radishyoke/shared/log_record';
import test from 'ava';
import fc from 'fast-check';
import {
  ConfigHistory,
  type ConfigTransfer,
  NO_VERSION,
} from '../rules/config_history.js';
import {
  publishConfig,
  RecordFixture,
  TEAM,
} from '../simulation/log_fixtures.js';

const RECORDS = 200;
const VMS = 4;

/** An event: a VM reads from the log, or imports another VM's export. */
const event = fc.record({
  vm: fc.nat(VMS - 1),
  from: fc.option(fc.nat(VMS - 1), {nil: undefined}),
  records: fc.nat(40),
  /** Whether the transfer is sent now but arrives only with the next one. */
  delayed: fc.boolean(),
});

function createStream(): RecordFixture<ConfigRecord> {
  const stream = new RecordFixture<ConfigRecord>();
  const history = new ConfigHistory(() => undefined);
  for (let i = 0; i < RECORDS; i++) {
    const current = history.current(TEAM)?.version ?? NO_VERSION;
    const basedOn = i % 5 === 4 ? NO_VERSION : current;
    history.apply(stream.add('op', publishConfig(basedOn, `rules ${i}`), i));
  }
  return stream;
}

// A VM whose log connection delivers nothing gets its configuration from other
// VMs. The other VM may lag behind because it was paused, or an older answer may
// arrive late, after a newer one. Guards against a return to rules that were
// replaced, and against skipped versions.
test('transfers between VMs never move one back and leave no gap', t => {
  const {records} = createStream();
  const reference = new ConfigHistory(() => undefined);
  const currentAt = records.map(record => {
    reference.apply(record);
    return reference.current(TEAM)?.version;
  });
  const details = fc.check(
    fc.property(fc.array(event, {maxLength: 60, size: 'max'}), events => {
      const vms = Array.from(
        {length: VMS},
        () => new ConfigHistory(() => undefined),
      );
      let delayedTransfer: ConfigTransfer | undefined;
      return events.every(({vm, from, records: count, delayed}) => {
        const history = vms[vm]!;
        const before = history.next;
        if (from === undefined) {
          records.slice(before, before + count).forEach(r => history.apply(r));
        } else {
          const transfer = vms[from]!.exportRecords(before);
          if (delayedTransfer) history.importRecords(delayedTransfer);
          delayedTransfer = delayed ? transfer : undefined;
          if (!delayed) history.importRecords(transfer);
        }
        const version = history.current(TEAM)?.version;
        return (
          history.next >= before &&
          (history.next === 0 || version === currentAt[history.next - 1])
        );
      });
    }),
    {seed: 9, numRuns: 300},
  );
  t.deepEqual(details.counterexample, null);
});
