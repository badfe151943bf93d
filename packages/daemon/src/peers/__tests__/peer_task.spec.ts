import test from 'ava';
import type {ConfigTransfer} from '@radishyoke/core/rules/config_history';
import type {ConfigRecord, LoggedRecord} from '@radishyoke/shared/log_record';
import {
  toDataCentreId,
  toEndpointId,
  toIncarnationId,
  toTeamId,
  toVmId,
} from '@radishyoke/shared/ids';
import {PeerEvent, PeerTask, PeerTaskConfig} from '../peer_task.js';

const RECORD: LoggedRecord<ConfigRecord> = {
  offset: 0,
  timeMs: 1,
  value: {
    kind: 'config_published',
    stamp: {vm: toVmId('vm-0'), incarnation: toIncarnationId('i'), seq: 1},
    team: toTeamId('team'),
    basedOn: -1,
    author: 'operator',
    text: '[rules]',
  },
};

interface TaskFixture {
  readonly task: PeerTask;
  readonly events: PeerEvent[];
  /** Resolves once any past or future event satisfies `matches`. */
  readonly until: (matches: (event: PeerEvent) => boolean) => Promise<void>;
}

async function createTask(
  index: number,
  fields: Partial<PeerTaskConfig> = {},
): Promise<TaskFixture & {readonly address: string}> {
  const task = new PeerTask({
    vm: toVmId(`vm-${index}`),
    dataCentre: toDataCentreId('dc'),
    peerAddress: '127.0.0.1:0',
    callerAddress: '127.0.0.1:1',
    seeds: [],
    sharedKey: 'a key of some length',
    maxMessageBytes: 1 << 20,
    seed: index,
    exportConfig: () => ({kind: 'records', records: []}),
    ...fields,
  });
  const events: PeerEvent[] = [];
  const waiting = new Set<() => void>();
  void task.events.forEach(event => {
    events.push(event);
    for (const checkEvents of [...waiting]) checkEvents();
  });
  const until = (matches: (event: PeerEvent) => boolean) =>
    new Promise<void>(resolve => {
      const checkEvents = () => {
        if (!events.some(matches)) return;
        waiting.delete(checkEvents);
        resolve();
      };
      waiting.add(checkEvents);
      checkEvents();
    });
  const address = await task.start();
  return {task, events, until, address};
}

const countsVms = (count: number) => (event: PeerEvent) =>
  event.kind === 'vms' && event.vms.length === count;

test('VMs that know one seed find one another and exchange updates', async t => {
  const transfer: ConfigTransfer = {kind: 'records', records: [RECORD]};
  const first = await createTask(0, {exportConfig: () => transfer});
  const seeds = [first.address];
  const others = await Promise.all([
    createTask(1, {seeds}),
    createTask(2, {seeds}),
  ]);
  const all = [first, ...others];
  await Promise.all(all.map(({until}) => until(countsVms(3))));

  const endpoint = toEndpointId('worker');
  first.task.publish({kind: 'own_load', inFlight: new Map([[endpoint, 4]])});
  first.task.publish({kind: 'own_suspects', fingerprints: ['f']});
  first.task.publish({kind: 'config_offset', next: 1});
  for (const {until, events} of others) {
    await until(e => e.kind === 'peer_load' && e.inFlight.get(endpoint) === 4);
    await until(e => e.kind === 'suspects' && e.fingerprints[0] === 'f');
    await until(e => e.kind === 'config_seen' && e.next === 1);
    await until(e => e.kind === 'config_transfer');
    const transferEvent = events.find(e => e.kind === 'config_transfer');
    t.deepEqual(transferEvent, {kind: 'config_transfer', transfer});
  }

  first.task.publish({kind: 'leave'});
  const lacksFirstVm = (e: PeerEvent) =>
    e.kind === 'vms' && !e.vms.includes(toVmId('vm-0'));
  await Promise.all(others.map(({until}) => until(lacksFirstVm)));
  await Promise.all(all.map(({task}) => task.stop()));
  t.is(first.task.counters.malformed, 0);
});

// Guards against endpoints that look busy forever. A VM stops without
// announcing it, and a new process starts under the same name; the other VMs
// must drop the load that the old process reported.
test('the load of a stopped VM is dropped and its restart joins again', async t => {
  const first = await createTask(0);
  const second = await createTask(1, {seeds: [first.address]});
  await first.until(countsVms(2));
  second.task.publish({
    kind: 'own_load',
    inFlight: new Map([[toEndpointId('worker'), 4]]),
  });
  await first.until(e => e.kind === 'peer_load' && e.inFlight.size === 1);
  await second.task.stop();
  first.events.length = 0;
  const third = await createTask(1, {seeds: [first.address]});
  await first.until(e => e.kind === 'peer_load' && e.inFlight.size === 0);
  await third.until(countsVms(2));
  t.is(first.task.listMembers().length, 2);
  await Promise.all([first.task.stop(), third.task.stop()]);
});
