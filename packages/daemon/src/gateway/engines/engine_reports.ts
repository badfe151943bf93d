/** Asks engines for their own word on their weights, orders and runs. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EventLogger} from '../../logger.js';
import type {EndpointLinks} from '../endpoints/endpoint_links.js';
import type {
  EndpointProtocol,
  EngineReport,
} from '../endpoints/endpoint_protocol.js';
import {callOnce} from '../endpoints/http_call.js';
import type {EngineFleet} from './engine_fleet.js';

/** An engine answers a report within this time, ms. */
const REPORT_TIMEOUT_MS = 400;

export class EngineReports {
  constructor(
    private readonly links: EndpointLinks,
    private readonly protocol: EndpointProtocol,
    private readonly fleet: EngineFleet,
    private readonly logger: EventLogger,
  ) {}

  /** The engine's report, or undefined if none came that concerns this life of it. */
  async fetch(entry: EndpointEntry): Promise<EngineReport | undefined> {
    const call = this.protocol.reportCall();
    const outcome = await callOnce(this.links.open(entry), {
      ...call,
      host: entry.host,
      port: entry.port,
      timeoutMs: REPORT_TIMEOUT_MS,
    });
    if (outcome.kind !== 'answered' || outcome.status !== 200) {
      if (outcome.kind === 'unknown') this.links.renew(entry.id);
      return undefined;
    }
    const report = this.protocol.decodeReport(outcome.body);
    if (!report.ok) {
      this.logger.log('warn', 'report of an engine can not be read', {
        endpoint: entry.id,
        detail: report.error.detail,
      });
      return undefined;
    }
    // The address may belong to a later life by now.
    if (report.value.bornMs !== entry.startedAtMs) return undefined;
    this.fleet.recordReport(entry, report.value);
    return report.value;
  }
}
