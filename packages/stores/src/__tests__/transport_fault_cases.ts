/** Faults of a connection, and what a reading call must make of each. */

import type {TransportFault} from '@radishyoke/fakes/fault_plan';

export interface TransportFaultCase {
  readonly name: string;
  readonly fault: TransportFault;
  /** Whether the call fails by its timeout, which is then set short. */
  readonly timesOut: boolean;
}

/** Each makes a call that only reads fail; after it the next call succeeds. */
export const TRANSPORT_FAULT_CASES: readonly TransportFaultCase[] = [
  {name: 'outage', fault: {kind: 'outage'}, timesOut: false},
  {name: 'broken connections', fault: {kind: 'unreachable'}, timesOut: false},
  {
    name: 'a lost answer',
    fault: {kind: 'lose_answers', next: 1, method: 'GET'},
    timesOut: false,
  },
  {
    name: 'an answer after the timeout',
    fault: {kind: 'delay', delayMs: 2000},
    timesOut: true,
  },
  // Open connections go silent while new ones work: only giving the silent one
  // up lets the call after it succeed.
  {
    name: 'open connections gone silent',
    fault: {kind: 'silent', connections: 'open'},
    timesOut: true,
  },
  {
    name: 'all connections silent',
    fault: {kind: 'silent', connections: 'all'},
    timesOut: true,
  },
];

/** For calls that must succeed however busy the machine is. */
export const LONG_TIMEOUT = {timeoutMs: 20_000};
/** For calls that must fail by their timeout. */
export const SHORT_TIMEOUT = {timeoutMs: 100};

/** Lets a client take back the connection of a call that has just ended. */
export function waitForNextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
