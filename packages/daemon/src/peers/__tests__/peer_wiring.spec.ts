import test from 'ava';
import {toVmId} from '@radishyoke/shared/ids';
import {PeerWiring, type PeerWiringOptions} from '../peer_wiring.js';

const OWN = {vm: 'a', incarnation: 'now'};

/** A wiring whose log is told of crashes by `hear`; returns what its dispatcher is told. */
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
  const hear = (stamp: typeof OWN) => {
    const value = {kind: 'crash_seen', stamp, fingerprints: ['f']};
    const change = {kind: 'state', judged: {record: {value}}};
    for (const observer of observers) observer(change);
  };
  return {wiring, hear, posted};
}

// Guards against a VM that forgets with its process what crashed endpoints.
test('a VM takes from the log what its own earlier life saw crash', t => {
  const {wiring, hear, posted} = createWiring();
  hear(OWN);
  t.deepEqual(posted, [], 'what this life saw is known already');
  hear({vm: 'a', incarnation: 'before'});
  hear({vm: 'b', incarnation: 'now'});
  t.is(posted.length, 2);
  wiring.stop();
});
