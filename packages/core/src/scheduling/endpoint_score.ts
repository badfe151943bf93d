/**
 * Estimates the time until a work item would complete on an endpoint; candidate
 * endpoints are compared by it.
 */

import type {DataCentreId} from '@radishyoke/shared/ids';
import type {EndpointState} from './endpoint_state.js';
import type {SpeedModel} from './speed_model.js';

/** Assumed prefill speed of an engine. */
const PREFILL_TOKENS_PER_SECOND = 8000;
/** Assumed tokens per second of one stream before any measurement. */
const ASSUMED_STREAM_SPEED = 50;
/** Round trip time to another data centre. */
const OTHER_DATA_CENTRE_MS = 3;
/** Age at which a report is ignored. */
const MAX_REPORT_AGE_MS = 5000;
/** Penalty per weight version behind the newest, ms. */
const VERSION_LAG_COST_MS = 2000;
/** Relative increase in token time from an empty to a full endpoint. */
const LOAD_SLOWDOWN = 1;

/** The properties of a work item that affect its completion time. */
export interface ScoredWork {
  readonly promptTokens: number;
  readonly expectedTokens: number;
  readonly isRollout: boolean;
}

/** Inputs that are the same for all candidates. */
export interface ScoreView {
  readonly dataCentre: DataCentreId;
  readonly newestVersion: number;
  readonly nowMs: number;
  /** Speed model of the group; absent to use only each endpoint's own speed. */
  readonly speed?: SpeedModel;
}

/** Returns the expected ms until completion plus penalties; lower is better. */
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

/** Returns the expected ms per token of a stream added to the endpoint. */
export function estimateTokenMs(
  endpoint: EndpointState,
  view: Pick<ScoreView, 'speed' | 'nowMs'>,
): number {
  const inFlight = estimateInFlight(endpoint, view.nowMs);
  const {limit} = endpoint.limit;
  // Requests beyond the limit are queued in the endpoint and don't enlarge its batch.
  const queueingFactor = Math.max(1, (inFlight + 1) / limit);
  if (view.speed) {
    const streams = Math.min(limit, inFlight + 1);
    return view.speed.predictMs(streams) * endpoint.slowness * queueingFactor;
  }
  const speed = endpoint.streamSpeed || ASSUMED_STREAM_SPEED;
  return (1e3 / speed) * (1 + (LOAD_SLOWDOWN * inFlight) / limit);
}

/** Returns the tracked requests in flight plus those only the report shows. */
function estimateInFlight(endpoint: EndpointState, nowMs: number): number {
  const tracked = endpoint.totalInFlight;
  const {report} = endpoint;
  let inFlight = tracked;
  if (report) {
    // The report includes requests that no VM has announced, but it is outdated:
    // its surplus over the tracked requests is weighted down with its age.
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
