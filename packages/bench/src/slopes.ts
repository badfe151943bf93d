/**
 * Measures what each role costs by the size of what it handles, for
 * docs/CAPACITY.md. Bytes and counts do not depend on the machine; processor
 * times do, and are those of the process itself whatever else runs.
 */

import type {Slope} from './slope.js';
import {measureEndpoints} from './slopes_endpoints.js';
import {measurePeers} from './slopes_peers.js';
import {measureRecords} from './slopes_records.js';
import {measureRules} from './slopes_rules.js';

export async function* runSlopes(): AsyncGenerator<Slope> {
  yield* measureRules();
  yield* measureRecords();
  yield* measureEndpoints();
  yield* measurePeers();
}
