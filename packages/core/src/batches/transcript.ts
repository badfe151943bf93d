/** The part of an item's output that is known so far. */

import type {OutputEvent} from './batch_record.js';

/** What weights a text must have been made with. */
export interface VersionRequirement {
  readonly minVersion: number;
  readonly singleVersion: boolean;
}

/**
 * Events of one item in order and without gaps, whichever endpoints made them.
 * Ids on the wire begin anywhere and rise by one.
 */
export class Transcript {
  private readonly stored: OutputEvent[] = [];
  private isEnded = false;

  get events(): readonly OutputEvent[] {
    return this.stored;
  }

  /** Whether the text ends with the last event that is kept. */
  get isComplete(): boolean {
    return this.isEnded;
  }

  get lastEventId(): number | undefined {
    return this.stored.at(-1)?.id;
  }

  /** Adds `event` if it follows the last one; says whether it did. */
  append(event: OutputEvent): boolean {
    const last = this.lastEventId;
    if (last !== undefined && event.id !== last + 1) return false;
    this.stored.push(event);
    this.isEnded = false;
    return true;
  }

  /** The generation has ended: no event follows the last one. */
  finish(): void {
    this.isEnded = true;
  }

  /**
   * Joins `events` to the event before them, if that is known and was made by
   * `afterRun`; what stood behind it is dropped. Says whether it did.
   *
   * Two VMs may run one item at the same time and write down what each made.
   * Their texts have the same ids, and joined by id alone the text of one run
   * would go on with that of another which never resumed it. A run goes on from
   * one event of one run, so that pair names all of the text before.
   */
  join(afterRun: string | undefined, events: readonly OutputEvent[]): boolean {
    const [first] = events;
    if (first === undefined) return true;
    const keptCount = this.countEventsBefore(afterRun, first.id);
    if (keptCount === undefined) return false;
    this.stored.length = keptCount;
    for (const event of events) this.append(event);
    return true;
  }

  /** How many events stand before one with `id` that follows `afterRun`. */
  private countEventsBefore(
    afterRun: string | undefined,
    id: number,
  ): number | undefined {
    if (afterRun === undefined) return 0;
    const index = this.stored.findIndex(
      event => event.id === id - 1 && event.run === afterRun,
    );
    return index < 0 ? undefined : index + 1;
  }

  /** Weight versions that made the events, ascending. */
  listVersions(): readonly number[] {
    return [...new Set(this.stored.map(({version}) => version))].sort(
      (a, b) => a - b,
    );
  }

  /** The data of all events, separated by line feeds. */
  joinOutput(): string {
    return this.stored.map(({data}) => data).join('\n');
  }

  /** Whether the text may be used where `demand` holds. */
  satisfies(requirement: VersionRequirement): boolean {
    const versions = this.listVersions();
    if (versions.some(version => version < requirement.minVersion))
      return false;
    return !requirement.singleVersion || versions.length <= 1;
  }

  clear(): void {
    this.stored.length = 0;
    this.isEnded = false;
  }
}
