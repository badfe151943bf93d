/** What this VM has seen of plain endpoints, for choosing among them. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EndpointCandidate} from '@radishyoke/core/routing/endpoint_choice';
import type {ExchangeOutcome} from './endpoint_exchange.js';
import type {EndpointLoad} from './endpoint_protocol.js';

interface Seen {
  bornMs: number;
  inFlight: number;
  reported: number;
  reportedAtMs: number;
  failures: number;
  failedAtMs: number;
}

/** A reported load says nothing any more after this long, ms: requests last a tenth of it. */
const REPORT_TRUST_MS = 500;

export class EndpointView {
  private readonly seen = new Map<string, Seen>();

  describe(entry: EndpointEntry, nowMs: number): EndpointCandidate {
    const seen = this.open(entry);
    const isRecent = nowMs - seen.reportedAtMs < REPORT_TRUST_MS;
    return {
      id: entry.id,
      slots: entry.slots,
      dataCentre: entry.dataCentre,
      inFlight: seen.inFlight,
      reportedLoad: isRecent ? seen.reported : 0,
      failures: seen.failures,
      failedAtMs: seen.failedAtMs,
    };
  }

  noteStart(entry: EndpointEntry): void {
    this.open(entry).inFlight += 1;
  }

  noteEnd(entry: EndpointEntry): void {
    const seen = this.open(entry);
    seen.inFlight = Math.max(seen.inFlight - 1, 0);
  }

  /** Takes what the end of an exchange says of the endpoint. */
  noteOutcome(
    entry: EndpointEntry,
    outcome: ExchangeOutcome,
    nowMs: number,
  ): void {
    if (outcome.kind !== 'answered') {
      this.noteFailure(entry, nowMs);
      return;
    }
    const {facts, status} = outcome.answer;
    if (facts.load) this.noteLoad(entry, facts.load, nowMs);
    if (status >= 500) this.noteFailure(entry, nowMs);
    else this.noteSuccess(entry);
  }

  private noteLoad(
    entry: EndpointEntry,
    load: EndpointLoad,
    nowMs: number,
  ): void {
    const seen = this.open(entry);
    seen.reported = load.running + load.waiting;
    seen.reportedAtMs = nowMs;
  }

  private noteSuccess(entry: EndpointEntry): void {
    this.open(entry).failures = 0;
  }

  private noteFailure(entry: EndpointEntry, nowMs: number): void {
    const seen = this.open(entry);
    seen.failures += 1;
    seen.failedAtMs = nowMs;
  }

  forget(endpointId: string): void {
    this.seen.delete(endpointId);
  }

  private open(entry: EndpointEntry): Seen {
    const known = this.seen.get(entry.id);
    if (known && known.bornMs === entry.startedAtMs) return known;
    const seen = {
      bornMs: entry.startedAtMs,
      inFlight: 0,
      reported: 0,
      reportedAtMs: -Infinity,
      failures: 0,
      failedAtMs: -Infinity,
    };
    this.seen.set(entry.id, seen);
    return seen;
  }
}
