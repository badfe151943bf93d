/**
 * Logs changes of the list of endpoints. Every VM reads the same list, so the number of log
 * lines is VMs times changes: a few changes have one line each, many at once share one.
 */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {RosterChange} from '@radishyoke/core/fleet/endpoint_roster';
import type {EventLogger} from '../../logger.js';

type LoggedChange = Exclude<RosterChange['kind'], 'updated'>;

interface PendingChange {
  readonly change: LoggedChange;
  readonly entry: EndpointEntry;
  /** Offset of the record in the topic of the list. */
  readonly offset: number;
}

/** Up to this many changes of one kind in one read have a line each. */
const MAX_SINGLE_LINES = 3;
/** Number of endpoint ids in a line about many changes. */
const MAX_LISTED_ENDPOINTS = 50;

export class RosterChangeLogger {
  private pending: PendingChange[] = [];

  constructor(private readonly logger: EventLogger) {}

  /** Records a change, to be logged by `flush`. */
  record(
    change: RosterChange['kind'],
    entry: EndpointEntry,
    offset: number,
  ): void {
    if (change !== 'updated') this.pending.push({change, entry, offset});
  }

  /** Logs the recorded changes; called after each read of the list. */
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
