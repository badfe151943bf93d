/**
 * The expected time until a work would be complete at an endpoint, by which the
 * candidates are compared.
 */

import type {DataCentreId} from '@radishyoke/shared/ids';
import type {EndpointState} from './endpoint_state.js';
import type {SpeedModel} from './speed_model.js';

/** Prompt tokens a second that an engine is assumed to prefill. */
const PREFILL_TOKENS_PER_SECOND = 8000;
/** Tokens a second of one stream where none was measured yet. */
const ASSUMED_STREAM_SPEED = 50;
/** Added by another data centre, there and back. */
const OTHER_DATA_CENTRE_MS = 3;
/** A report says nothing of the present after this long. */
const MAX_REPORT_AGE_MS = 5000;
/** Ms of expected time that each version behind the newest counts for. */
const VERSION_LAG_COST_MS = 2000;
/** Slow-down of a stream by a full endpoint, relative to an empty one. */
const LOAD_SLOWDOWN = 1;

/** What is to be placed. */
export interface ScoredWork {
  readonly promptTokens: number;
  readonly expectedTokens: number;
  readonly isRollout: boolean;
}

/** What is the same for all candidates. */
export interface ScoreView {
  readonly dataCentre: DataCentreId;
  readonly newestVersion: number;
  readonly nowMs: number;
  /** Absent where each endpoint's own speed is used alone. */
  readonly speed?: SpeedModel;
}

/** Expected ms until completion; lower is better. */
export function scoreEndpoint(
  endpoint: EndpointState,
  work: ScoredWork,
  isPrefixCached: boolean,
  view: ScoreView,
): number {
  const distanceMs =
    endpoint.info.dataCentre === view.dataCentre ? 0 : OTHER_DATA_CENTRE_MS;
  const firstTokenMs = estimatePrefillMs(
    endpoint,
    isPrefixCached ? 0 : work.promptTokens,
    view.nowMs,
  );
  const tokens = Math.max(1, work.expectedTokens);
  const decodeMs = tokens * estimateTokenMs(endpoint, view);
  const lag = work.isRollout
    ? Math.max(0, view.newestVersion - endpoint.weightVersion)
    : 0;
  return distanceMs + firstTokenMs + decodeMs + lag * VERSION_LAG_COST_MS;
}

/** Expected ms for one token of a stream that joins at the endpoint. */
export function estimateTokenMs(
  endpoint: EndpointState,
  view: Pick<ScoreView, 'speed' | 'nowMs'>,
): number {
  const inFlight = estimateInFlight(endpoint, view.nowMs);
  const {limit} = endpoint.limit;
  // Beyond its limit the endpoint queues, and the batch grows no further.
  const queueingFactor = Math.max(1, (inFlight + 1) / limit);
  if (view.speed) {
    const streams = Math.min(limit, inFlight + 1);
    return view.speed.predictMs(streams) * endpoint.slowness * queueingFactor;
  }
  const speed = endpoint.streamSpeed || ASSUMED_STREAM_SPEED;
  return (1e3 / speed) * (1 + (LOAD_SLOWDOWN * inFlight) / limit);
}

/** Own and peers' work, and what a report adds. */
function estimateInFlight(endpoint: EndpointState, nowMs: number): number {
  const tracked = endpoint.totalInFlight;
  const {report} = endpoint;
  let inFlight = tracked;
  if (report) {
    // The report counts what nobody told us of, but it is old: its surplus
    // over what is known fades with its age.
    const ageMs = Math.max(0, nowMs - report.measuredAtMs);
    const weight = Math.max(0, 1 - ageMs / MAX_REPORT_AGE_MS);
    const untracked = report.running + report.waiting - tracked;
    inFlight += Math.max(0, untracked) * weight;
  }
  return inFlight;
}

function estimatePrefillMs(
  endpoint: EndpointState,
  ownTokens: number,
  nowMs: number,
): number {
  let pendingTokens = endpoint.pendingPromptTokens;
  const {report} = endpoint;
  if (report && nowMs - report.measuredAtMs < MAX_REPORT_AGE_MS) {
    pendingTokens = Math.max(pendingTokens, report.waitingPromptTokens);
  }
  return ((ownTokens + pendingTokens) / PREFILL_TOKENS_PER_SECOND) * 1e3;
}
