/** Picks an endpoint for one attempt, based on what this VM observed of each. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import {
  type EndpointChoice,
  LeastLoadedChoice,
} from '@radishyoke/core/routing/endpoint_choice';
import type {TimedCandidate} from '@radishyoke/core/routing/endpoint_record';
import {
  expectCompletionMs,
  ExpectedTimeChoice,
  type PassOverReason,
} from '@radishyoke/core/routing/expected_time_choice';
import type {EventLogger} from '../../logger.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {EndpointView} from './endpoint_view.js';

export interface PickerDeps {
  readonly roster: EndpointRoster;
  readonly view: EndpointView;
  readonly dataCentre: string;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
}

/** An endpoint for a second attempt. */
export interface HedgeTarget {
  readonly entry: EndpointEntry;
  /** Time until its answer is expected, ms. */
  readonly expectedMs: number;
}

const LEAST_LOADED = new LeastLoadedChoice();

/** Returns the best endpoint of `service` that was not tried yet, or the best of all if every one was tried. */
export function pickEndpoint(
  deps: PickerDeps,
  service: string,
  tried: ReadonlySet<string>,
): EndpointEntry | undefined {
  const {usable, candidates, choose} = openChoice(deps, service);
  const choice = choose(tried) ?? choose(new Set());
  return choice && usable[candidates.indexOf(choice)];
}

/** Returns an endpoint of `service` that was not tried yet, and when it is expected to answer. */
export function pickHedgeTarget(
  deps: PickerDeps,
  service: string,
  tried: ReadonlySet<string>,
): HedgeTarget | undefined {
  const {usable, candidates, choose} = openChoice(deps, service);
  const choice = choose(tried);
  const entry = choice && usable[candidates.indexOf(choice)];
  if (!entry) return undefined;
  const expectedMs = expectCompletionMs(choice, candidates, deps.dataCentre);
  return {entry, expectedMs};
}

function openChoice(deps: PickerDeps, service: string) {
  const {roster, view, dataCentre} = deps;
  const nowMs = performance.now();
  const usable = roster.listUsable(service, nowMs);
  const candidates = usable.map(entry => view.describe(entry, nowMs));
  const choice = selectChoice(deps, service, nowMs);
  const random = Math.random();
  const choose = (tried: ReadonlySet<string>) =>
    choice.choose(candidates, {tried, dataCentre, random, nowMs});
  return {usable, candidates, choose};
}

function selectChoice(
  deps: PickerDeps,
  service: string,
  nowMs: number,
): EndpointChoice {
  if (!deps.view.findTimedService(service)) return LEAST_LOADED;
  return new ExpectedTimeChoice((endpoint, reason) =>
    reportPassOver(deps, service, endpoint, reason, nowMs),
  );
}

function reportPassOver(
  {view, metrics, logger}: PickerDeps,
  service: string,
  endpoint: TimedCandidate,
  reason: PassOverReason,
  nowMs: number,
): void {
  metrics.count(`passed_over_${reason}`);
  if (!view.takePassOverLog(endpoint.id, nowMs)) return;
  logger.log('info', 'endpoint passed over', {
    endpoint: endpoint.id,
    service,
    dataCentre: endpoint.dataCentre,
    reason,
    usualMs: Math.round(endpoint.usualMs ?? 0),
    slowdown: Math.round(endpoint.slowdown * 100) / 100,
    load: Math.round(endpoint.inFlight + endpoint.othersLoad),
  });
}
