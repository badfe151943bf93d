/**
 * Measures what each role of the service costs per unit of its load, for
 * docs/CAPACITY.md. Bytes and counts don't depend on the machine. Processor times
 * do, but don't include the time of other processes.
 */

import {runDecide} from './decide.js';
import {createSlope, Slope} from './slope.js';
import {measureEndpoints} from './slopes_endpoints.js';
import {measureLogSlopes} from './slopes_log.js';
import {measurePeers} from './slopes_peers.js';
import {measureRules} from './slopes_rules.js';
import {measureStreams} from './slopes_streams.js';

export async function* runSlopes(): AsyncGenerator<Slope> {
  yield* measureRules();
  yield* measureDecisions();
  yield* measureRecords();
  yield* measureEndpoints();
  yield* measurePeers();
  yield* measureStreams();
}

function* measureDecisions(): Generator<Slope> {
  for (const {endpoints, rules, decisionsPerSecond} of runDecide()) {
    const name = `decision_cpu_ms_${endpoints}_endpoints_${rules}_rules`;
    yield createSlope(name, 1000 / decisionsPerSecond, 'ms');
  }
}

function* measureRecords(): Generator<Slope> {
  for (const {name, value, unit} of measureLogSlopes()) {
    yield createSlope(name.replaceAll(/\W+/g, '_'), value, unit);
  }
}
