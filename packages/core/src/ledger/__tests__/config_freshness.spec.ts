import {toVmId} from '@radishyoke/shared/ids';
import test from 'ava';
import {
  ConfigFreshnessTracker,
  DEFAULT_CONFIG_FRESHNESS_TIMING,
} from '../config_freshness.js';

const {maxConfirmationAgeMs, logDownMs, cutOffMs} =
  DEFAULT_CONFIG_FRESHNESS_TIMING;
const [PEER, OTHER] = [toVmId('b'), toVmId('c')];

interface FreshnessCase {
  readonly name: string;
  /** Age of this VM's own last read to the end; undefined for none. */
  readonly ownReadAgeMs?: number;
  /** What the other VM reports now; undefined when it can not be reached. */
  readonly peer?: {readonly next: number; readonly ageMs: number};
  readonly expected: string;
}

const CASES: readonly FreshnessCase[] = [
  {name: 'reads the log', ownReadAgeMs: 0, expected: 'current'},
  {
    name: 'has a silent log connection and a peer that reads',
    ownReadAgeMs: logDownMs * 2,
    peer: {next: 5, ageMs: 100},
    expected: 'current',
  },
  {
    name: 'has a silent log connection and a peer that is ahead',
    ownReadAgeMs: maxConfirmationAgeMs + 1,
    peer: {next: 6, ageMs: 100},
    expected: 'uncertain behind',
  },
  {
    name: 'sees the log down for everybody',
    ownReadAgeMs: logDownMs,
    peer: {next: 5, ageMs: logDownMs},
    expected: 'uncertain log_down',
  },
  {
    name: 'sees the log down for too long',
    ownReadAgeMs: logDownMs + 1,
    peer: {next: 5, ageMs: logDownMs + 1},
    expected: 'not_current log_down',
  },
  {
    name: 'is cut off from log and peers for a moment',
    ownReadAgeMs: cutOffMs,
    expected: 'uncertain cut_off',
  },
  {
    name: 'is cut off from log and peers for long',
    ownReadAgeMs: cutOffMs + 1,
    expected: 'not_current cut_off',
  },
  {
    name: 'has just started and received nothing',
    expected: 'not_current cut_off',
  },
  {
    name: 'has just started in an outage and took a peer configuration',
    peer: {next: 5, ageMs: 60_000},
    expected: 'uncertain log_down',
  },
];

// Guards against a VM that keeps serving rules an operator replaced minutes
// ago, and against a deployment that stops being ready in a log outage during
// which no configuration can change.
for (const {name, ownReadAgeMs, peer, expected} of CASES) {
  test(`a VM that ${name} is ${expected}`, t => {
    const nowMs = 10_000_000;
    const tracker = new ConfigFreshnessTracker(
      DEFAULT_CONFIG_FRESHNESS_TIMING,
      0,
    );
    tracker.recordFolded(5);
    if (ownReadAgeMs !== undefined) tracker.recordRead(5, nowMs - ownReadAgeMs);
    if (peer)
      tracker.recordPeerConfirmation(PEER, peer.next, peer.ageMs, nowMs);
    tracker.recordPeerConfirmation(OTHER, 4, 0, 0);
    const freshness = tracker.assess(2, nowMs);
    const reason = 'reason' in freshness ? ` ${freshness.reason}` : '';
    t.is(freshness.kind + reason, expected);
  });
}
