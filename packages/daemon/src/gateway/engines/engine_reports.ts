/** Fetches the reports of engines on their weights, orders and runs. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EventLogger} from '../../logger.js';
import type {EndpointLinks} from '../endpoints/endpoint_links.js';
import type {
  EndpointProtocol,
  EngineReport,
} from '../endpoints/endpoint_protocol.js';
import {callOnce, MAX_CONTROL_ANSWER_BYTES} from '../endpoints/http_call.js';
import type {EngineFleet} from './engine_fleet.js';

/** Time limit for fetching a report, ms. */
const REPORT_TIMEOUT_MS = 400;

export class EngineReports {
  constructor(
    private readonly links: EndpointLinks,
    private readonly protocol: EndpointProtocol,
    private readonly fleet: EngineFleet,
    private readonly logger: EventLogger,
  ) {}

  /** Fetches the engine's report; returns undefined if none came, or if it is of another incarnation of the engine. */
  async fetch(entry: EndpointEntry): Promise<EngineReport | undefined> {
    const call = this.protocol.reportCall();
    const outcome = await callOnce(this.links.getAgent(entry), {
      ...call,
      host: entry.host,
      port: entry.port,
      timeoutMs: REPORT_TIMEOUT_MS,
      maxBytes: MAX_CONTROL_ANSWER_BYTES,
    });
    if (outcome.kind !== 'answered' || outcome.status !== 200) {
      if (outcome.kind === 'unknown') this.links.closeIdle(entry.id);
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
    // The engine may have restarted at the same address.
    if (report.value.startedAtMs !== entry.startedAtMs) return undefined;
    this.fleet.recordReport(entry, report.value);
    return report.value;
  }
}

/** Returns the engine's version of `model`, or 0 if it has none. */
export function findVersion(report: EngineReport, model: string): number {
  return report.models.find(each => each.model === model)?.version ?? 0;
}

/** Whether the engine has `version` of `model` or a newer one. */
export function hasVersion(
  report: EngineReport,
  model: string,
  version: number,
): boolean {
  return findVersion(report, model) >= version;
}
