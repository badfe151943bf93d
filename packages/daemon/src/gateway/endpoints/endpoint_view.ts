/** Load and failures of plain endpoints as observed by this VM, for choosing among them. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EndpointCandidate} from '@radishyoke/core/routing/endpoint_choice';
import type {ExchangeOutcome} from './endpoint_exchange.js';
import type {EndpointLoad} from './endpoint_protocol.js';

interface EndpointState {
  startedAtMs: number;
  inFlight: number;
  reportedLoad: number;
  reportedAtMs: number;
  consecutiveFailures: number;
  lastFailureMs: number;
}

/** A reported load is ignored after this time, ms: requests take about a tenth of it. */
const MAX_REPORT_AGE_MS = 500;

export class EndpointView {
  private readonly states = new Map<string, EndpointState>();

  describe(entry: EndpointEntry, nowMs: number): EndpointCandidate {
    const state = this.getState(entry);
    const isRecent = nowMs - state.reportedAtMs < MAX_REPORT_AGE_MS;
    return {
      id: entry.id,
      slots: entry.slots,
      dataCentre: entry.dataCentre,
      inFlight: state.inFlight,
      reportedLoad: isRecent ? state.reportedLoad : 0,
      failures: state.consecutiveFailures,
      failedAtMs: state.lastFailureMs,
    };
  }

  recordStart(entry: EndpointEntry): void {
    this.getState(entry).inFlight += 1;
  }

  recordEnd(entry: EndpointEntry): void {
    const state = this.getState(entry);
    state.inFlight = Math.max(state.inFlight - 1, 0);
  }

  /** Updates the endpoint's load and failures from the outcome of an exchange. */
  recordOutcome(
    entry: EndpointEntry,
    outcome: ExchangeOutcome,
    nowMs: number,
  ): void {
    if (outcome.kind !== 'answered') {
      this.recordFailure(entry, nowMs);
      return;
    }
    const {metadata, status} = outcome.answer;
    if (metadata.load) this.recordLoad(entry, metadata.load, nowMs);
    if (status >= 500) this.recordFailure(entry, nowMs);
    else this.recordSuccess(entry);
  }

  private recordLoad(
    entry: EndpointEntry,
    load: EndpointLoad,
    nowMs: number,
  ): void {
    const state = this.getState(entry);
    state.reportedLoad = load.running + load.waiting;
    state.reportedAtMs = nowMs;
  }

  private recordSuccess(entry: EndpointEntry): void {
    this.getState(entry).consecutiveFailures = 0;
  }

  private recordFailure(entry: EndpointEntry, nowMs: number): void {
    const state = this.getState(entry);
    state.consecutiveFailures += 1;
    state.lastFailureMs = nowMs;
  }

  forget(endpointId: string): void {
    this.states.delete(endpointId);
  }

  private getState(entry: EndpointEntry): EndpointState {
    const existing = this.states.get(entry.id);
    if (existing && existing.startedAtMs === entry.startedAtMs) return existing;
    const created = {
      startedAtMs: entry.startedAtMs,
      inFlight: 0,
      reportedLoad: 0,
      reportedAtMs: -Infinity,
      consecutiveFailures: 0,
      lastFailureMs: -Infinity,
    };
    this.states.set(entry.id, created);
    return created;
  }
}
