/**
 * Tells what reading the list of endpoints changed. Every VM sees the same list,
 * so lines about it are as many as VMs times changes: a few changes have a line
 * each, many at once share one.
 */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {RosterChange} from '@radishyoke/core/fleet/endpoint_roster';
import type {EventLogger} from '../../logger.js';

type LoggedChange = Exclude<RosterChange['kind'], 'updated'>;

interface PendingChange {
  readonly change: LoggedChange;
  readonly entry: EndpointEntry;
  /** Place of the record in the list's history. */
  readonly offset: number;
}

/** Changes of one kind in one reading that still have a line each. */
const MAX_SINGLE_LINES = 3;
/** Endpoints that a line for many names. */
const MAX_LISTED_ENDPOINTS = 50;

export class RosterChangeLogger {
  private pending: PendingChange[] = [];

  constructor(private readonly logger: EventLogger) {}

  /** Takes a change; it is told with the end of the reading that brought it. */
  record(
    change: RosterChange['kind'],
    entry: EndpointEntry,
    offset: number,
  ): void {
    if (change !== 'updated') this.pending.push({change, entry, offset});
  }

  /** A reading has ended. */
  flush(): void {
    const {pending} = this;
    if (pending.length === 0) return;
    this.pending = [];
    const kinds = new Set(pending.map(({change}) => change));
    for (const kind of kinds) {
      const changes = pending.filter(({change}) => change === kind);
      if (changes.length > MAX_SINGLE_LINES) this.logMany(kind, changes);
      else for (const each of changes) this.logOne(each);
    }
  }

  private logOne({change, entry, offset}: PendingChange): void {
    this.logger.log('info', `endpoint ${change}`, {
      endpoint: entry.id,
      service: entry.service,
      address: `${entry.host}:${entry.port}`,
      offset,
    });
  }

  private logMany(
    change: LoggedChange,
    changes: readonly PendingChange[],
  ): void {
    const ids = changes
      .slice(0, MAX_LISTED_ENDPOINTS)
      .map(({entry}) => entry.id);
    this.logger.log('info', `endpoints ${change}`, {
      count: changes.length,
      endpoints: ids.join(','),
      offset: changes.at(-1)!.offset,
    });
  }
}
