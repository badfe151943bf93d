import test from 'ava';
import {toVmId} from '@radishyoke/shared/ids';
import {PeerWiring, type PeerWiringOptions} from '../peer_wiring.js';

const OWN = {vm: 'a', incarnation: 'now'};

/**
 * Creates a wiring; `emitCrash` adds a crash to its log, `posted` lists what
 * its dispatcher receives.
 */
function createWiring() {
  const observers: Array<(change: unknown) => void> = [];
  const posted: unknown[] = [];
  const source = {observe: () => undefined};
  const options = {
    vm: toVmId('a'),
    peers: {publish: () => undefined, events: source},
    log: {
      changes: {
        observe: (observer: (change: unknown) => void) =>
          observers.push(observer),
      },
      isOwn: (stamp: typeof OWN) =>
        stamp.vm === OWN.vm && stamp.incarnation === OWN.incarnation,
      config: {next: 0},
    },
    dispatcher: {
      notices: source,
      countInFlight: () => [],
      post: (event: unknown) => posted.push(event),
    },
    endpoints: {vmLists: source},
    directory: {},
  } as unknown as PeerWiringOptions;
  const wiring = new PeerWiring(options);
  wiring.start();
  const emitCrash = (stamp: typeof OWN) => {
    const value = {kind: 'crash_seen', stamp, fingerprints: ['f']};
    const change = {kind: 'state', judged: {record: {value}}};
    for (const observer of observers) observer(change);
  };
  return {wiring, emitCrash, posted};
}

// Guards against a restarted VM that no longer knows which requests crashed
// endpoints.
test('a VM reads from the log the crashes that its earlier incarnation reported', t => {
  const {wiring, emitCrash, posted} = createWiring();
  emitCrash(OWN);
  t.deepEqual(posted, [], 'crashes of this incarnation are not posted again');
  emitCrash({vm: 'a', incarnation: 'before'});
  emitCrash({vm: 'b', incarnation: 'now'});
  t.is(posted.length, 2);
  wiring.stop();
});
