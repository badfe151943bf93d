/** Load, durations and failures of plain endpoints as observed by this VM, for choosing among them. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {
  EndpointRecord,
  type TimedCandidate,
} from '@radishyoke/core/routing/endpoint_record';
import {ServiceRecord} from '@radishyoke/core/routing/service_record';
import type {ExchangeOutcome, NotExecuted} from './endpoint_exchange.js';
import type {EndpointLoad} from './endpoint_protocol.js';
import type {StreamOutcome} from './endpoint_stream.js';

interface EndpointState {
  readonly entry: EndpointEntry;
  readonly record: EndpointRecord;
  passOverLoggedAtMs: number;
}

export interface EndpointViewOptions {
  /** Whether all services, not only those that report slowdowns, are chosen by time. */
  readonly isCapacityContended: boolean;
}

/** Durations at the endpoints of one service in one data centre, ms. */
export interface ClassDurations {
  /** Name of the service and of the data centre. */
  readonly name: string;
  readonly usualMs: number;
  readonly presentMs: number;
}

/** Time between two log lines about the same endpoint, ms. */
const PASS_OVER_LOG_INTERVAL_MS = 10_000;

export class EndpointView {
  private readonly states = new Map<string, EndpointState>();
  /** Services that have endpoints in `states`. */
  private readonly services = new Map<string, ServiceRecord>();

  constructor(
    private readonly options: EndpointViewOptions = {
      isCapacityContended: false,
    },
  ) {}

  describe(entry: EndpointEntry, nowMs: number): TimedCandidate {
    return this.openRecord(entry).describe(entry, nowMs);
  }

  /**
   * Returns what is known of a service whose endpoints are chosen by expected time;
   * undefined if they are chosen by load.
   */
  findTimedService(service: string): ServiceRecord | undefined {
    const record = this.services.get(service);
    const isTimed =
      this.options.isCapacityContended || record?.hasSlowdownReports;
    return isTimed ? record : undefined;
  }

  recordStart(entry: EndpointEntry): void {
    this.openRecord(entry).recordStart();
  }

  recordEnd(entry: EndpointEntry): void {
    this.findRecord(entry)?.recordEnd();
  }

  /** Updates the endpoint's load and failures from the outcome of an exchange. */
  recordOutcome(
    entry: EndpointEntry,
    outcome: ExchangeOutcome,
    nowMs: number,
  ): void {
    const record = this.findRecord(entry);
    if (!record) return;
    if (outcome.kind === 'not_executed' && this.isTimed(entry)) {
      this.recordRefusal(entry, outcome, nowMs);
      return;
    }
    if (outcome.kind !== 'answered') {
      record.recordFailure(nowMs);
      return;
    }
    const {metadata, status} = outcome.answer;
    if (metadata.load) this.recordLoad(entry, metadata.load, nowMs);
    if (status >= 500) record.recordFailure(nowMs);
    else record.recordSuccess();
  }

  /** Records how long an endpoint took for an answer. */
  recordDuration(entry: EndpointEntry, tookMs: number, nowMs: number): void {
    this.findRecord(entry)?.recordAnswer(tookMs, nowMs);
  }

  /** Records that a request was given up after `elapsedMs` without an answer. */
  recordUnfinished(
    entry: EndpointEntry,
    elapsedMs: number,
    nowMs: number,
  ): void {
    this.findRecord(entry)?.recordUnfinished(elapsedMs, nowMs);
  }

  /** Records the load that an endpoint reported at the start of a stream. */
  recordStreamLoad(
    entry: EndpointEntry,
    load: EndpointLoad,
    nowMs: number,
  ): void {
    if (load.slowdown !== undefined || this.isTimed(entry)) {
      this.recordLoad(entry, load, nowMs);
    }
  }

  /** Records how a stream ended that this VM did not end itself. */
  recordStreamEnd(
    entry: EndpointEntry,
    outcome: StreamOutcome,
    nowMs: number,
  ): void {
    if (!this.isTimed(entry)) return;
    if (outcome.kind === 'whole') this.findRecord(entry)?.recordSuccess();
    else this.recordOutcome(entry, outcome, nowMs);
  }

  /** Returns whether a line about the endpoint not being chosen is due, and counts it as written. */
  takePassOverLog(endpointId: string, nowMs: number): boolean {
    const state = this.states.get(endpointId);
    if (!state) return false;
    const elapsedMs = nowMs - state.passOverLoggedAtMs;
    if (elapsedMs < PASS_OVER_LOG_INTERVAL_MS) return false;
    state.passOverLoggedAtMs = nowMs;
    return true;
  }

  /** Returns mean durations of the services that are chosen by expected time. */
  measureClasses(nowMs: number): readonly ClassDurations[] {
    const classes = new Map<string, ClassDurations[]>();
    for (const {entry, record} of this.states.values()) {
      if (!this.isTimed(entry)) continue;
      const {usualMs, slowdown} = record.describe(entry, nowMs);
      if (usualMs === undefined) continue;
      const name = `${entry.service}/${entry.dataCentre}`;
      const members = classes.get(name) ?? [];
      members.push({name, usualMs, presentMs: usualMs * slowdown});
      classes.set(name, members);
    }
    return [...classes.values()].map(averageDurations);
  }

  forget(endpointId: string): void {
    const service = this.states.get(endpointId)?.entry.service;
    this.states.delete(endpointId);
    const isServiceKnown = [...this.states.values()].some(
      ({entry}) => entry.service === service,
    );
    if (service !== undefined && !isServiceKnown) {
      this.services.delete(service);
    }
  }

  private isTimed(entry: EndpointEntry): boolean {
    return this.findTimedService(entry.service) !== undefined;
  }

  /** An endpoint without room is busy and not faulty: avoiding it would fill the others. */
  private recordRefusal(
    entry: EndpointEntry,
    {isMisdirected, load}: NotExecuted,
    nowMs: number,
  ): void {
    const record = this.findRecord(entry);
    if (isMisdirected) {
      record?.recordFailure(nowMs);
      return;
    }
    if (load) this.recordLoad(entry, load, nowMs);
    record?.recordFull(entry.slots, nowMs);
  }

  private recordLoad(
    entry: EndpointEntry,
    load: EndpointLoad,
    nowMs: number,
  ): void {
    this.findRecord(entry)?.recordReport(load, nowMs);
    if (load.slowdown === undefined) return;
    this.services.get(entry.service)?.recordSlowdownReport();
  }

  /** Returns the record of the endpoint's incarnation, opened if it is a new one. */
  private openRecord(entry: EndpointEntry): EndpointRecord {
    const existing = this.findRecord(entry);
    if (existing) return existing;
    const record = new EndpointRecord();
    const passOverLoggedAtMs = -Infinity;
    this.states.set(entry.id, {entry, record, passOverLoggedAtMs});
    if (!this.services.has(entry.service)) {
      this.services.set(entry.service, new ServiceRecord());
    }
    return record;
  }

  /** Returns undefined if the endpoint was forgotten or restarted; a request that ends late tells nothing about the new incarnation. */
  private findRecord(entry: EndpointEntry): EndpointRecord | undefined {
    const state = this.states.get(entry.id);
    const isSame = state?.entry.startedAtMs === entry.startedAtMs;
    return isSame ? state?.record : undefined;
  }
}

function averageDurations(members: readonly ClassDurations[]): ClassDurations {
  const average = (select: (member: ClassDurations) => number) =>
    members.reduce((sum, member) => sum + select(member), 0) / members.length;
  return {
    name: members[0]?.name ?? '',
    usualMs: average(({usualMs}) => usualMs),
    presentMs: average(({presentMs}) => presentMs),
  };
}
