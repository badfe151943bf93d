/** Connection faults and their expected effect on a read call. */

import type {TransportFault} from '@radishyoke/fakes/fault_plan';

export interface TransportFaultCase {
  readonly name: string;
  readonly fault: TransportFault;
  /** Whether the call fails by its timeout; the test then uses a short one. */
  readonly timesOut: boolean;
}

/** Each fault makes a read call fail; the next call after it succeeds. */
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
  // Open connections go silent while new ones work, so the next call succeeds only if
  // the client has dropped the silent connection.
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

/** For calls that must succeed even on a busy machine. */
export const LONG_TIMEOUT = {timeoutMs: 20_000};
/** For calls that must time out. */
export const SHORT_TIMEOUT = {timeoutMs: 100};

/** Lets a client return the connection of a finished call to its pool. */
export function waitForNextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
