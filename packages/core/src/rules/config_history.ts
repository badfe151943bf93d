/**
 * Folds the stream `config` to each team's chain of versions. The log's order
 * decides between operators who publish at once, and every reader sees the same
 * winner; an accepted version is never taken back, only followed by another.
 */

import type {TeamId} from '@radishyoke/shared/ids';
import type {
  ConfigRecord,
  LoggedRecord,
  PublishedConfig,
  Stamp,
} from '@radishyoke/shared/log_record';
import {LogClock, type LogClockSnapshot} from '../ledger/log_clock.js';
import {
  nameWriter,
  type WriterEntry,
  WriterTable,
} from '../ledger/writer_table.js';

/** Says what is wrong with a rule set that `team` publishes; undefined if nothing is. */
export type CheckConfig = (text: string, team: TeamId) => string | undefined;

/** An accepted publication. */
export interface ConfigVersion {
  readonly team: TeamId;
  /** Offset of the record. */
  readonly version: number;
  readonly basedOn: number;
  readonly author: string;
  readonly text: string;
  /** Log time at which it was taken. */
  readonly publishedAtMs: number;
}

/** What became of one publication. */
export type ConfigOutcome =
  | {readonly kind: 'accepted'; readonly version: number}
  | {
      /** Another publication was based on the same version and came first. */
      readonly kind: 'lost_race';
      readonly basedOn: number;
      /** The version now in force; -1 for none. */
      readonly current: number;
      readonly author?: string;
    }
  | {readonly kind: 'invalid'; readonly problem: string}
  /** The same record was appended before; the first copy's outcome counts. */
  | {readonly kind: 'copy'};

/** The whole history as plain data. */
export interface ConfigSnapshot {
  readonly next: number;
  readonly clock: LogClockSnapshot;
  readonly writers: readonly WriterEntry[];
  readonly teams: ReadonlyArray<readonly ConfigVersion[]>;
}

/** A record with what became of it. */
export interface AppliedConfig {
  readonly record: LoggedRecord<ConfigRecord>;
  readonly outcome: ConfigOutcome;
}

/**
 * What one VM gives another whose own log connection brings nothing: the records
 * from the wanted offset on, or, when they are no longer at hand, the whole.
 */
export type ConfigTransfer =
  | {
      readonly kind: 'records';
      readonly records: ReadonlyArray<LoggedRecord<ConfigRecord>>;
    }
  | {readonly kind: 'snapshot'; readonly snapshot: ConfigSnapshot};

/** Version of a team without any. */
export const NO_VERSION = -1;
/** Versions kept of each team; older ones are in the audit export. */
const MAX_VERSIONS_PER_TEAM = 10;
const WRITER_RETENTION_MS = 3_600_000;
/** Records kept to be given to other VMs. */
const MAX_RECENT_RECORDS = 64;
/** Outcomes kept to answer operators who ask what became of a publication. */
const MAX_OUTCOMES = 1000;

function buildStampKey(stamp: Stamp): string {
  return `${nameWriter(stamp)}/${stamp.seq}`;
}

/** Each team's configuration, as the records up to `next` make it. */
export class ConfigHistory {
  private readonly teams = new Map<TeamId, ConfigVersion[]>();
  private readonly outcomes = new Map<string, ConfigOutcome>();
  private readonly recent: Array<LoggedRecord<ConfigRecord>> = [];
  private writers = new WriterTable();
  private clock = new LogClock();
  private nextOffset = 0;

  constructor(
    private readonly check: CheckConfig,
    snapshot?: ConfigSnapshot,
  ) {
    if (snapshot !== undefined) this.restore(snapshot);
  }

  /** Offset of the next record to apply. */
  get next(): number {
    return this.nextOffset;
  }

  /** Adjusted log time at the last record. */
  get nowMs(): number {
    return this.clock.nowMs;
  }

  /** Highest sequence number seen of a writer. */
  highestSeqOf(writer: string): number {
    return this.writers.highestOf(writer);
  }

  /** The version in force for a team. */
  current(team: TeamId): ConfigVersion | undefined {
    return this.teams.get(team)?.at(-1);
  }

  /** Accepted versions of a team, oldest first. */
  history(team: TeamId): readonly ConfigVersion[] {
    return this.teams.get(team) ?? [];
  }

  listTeams(): readonly TeamId[] {
    return [...this.teams.keys()];
  }

  /** What became of the publication with this stamp, if it was read. */
  outcomeOf(stamp: Stamp): ConfigOutcome | undefined {
    return this.outcomes.get(buildStampKey(stamp));
  }

  /** Applies the next record and tells what became of it. */
  apply(record: LoggedRecord<ConfigRecord>): ConfigOutcome {
    this.nextOffset = record.offset + 1;
    this.addRecent(record);
    const nowMs = this.clock.advance(record.timeMs);
    this.writers.dropBefore(nowMs - WRITER_RETENTION_MS);
    const {value} = record;
    if (!this.writers.admit(value.stamp, nowMs)) return {kind: 'copy'};
    const outcome = this.decideOutcome(record);
    this.storeOutcome(value.stamp, outcome);
    return outcome;
  }

  /** What a VM needs that lacks the records from `offset` on. */
  exportRecords(offset: number): ConfigTransfer {
    const first = this.recent[0]?.offset ?? this.nextOffset;
    if (offset < first) {
      return {kind: 'snapshot', snapshot: this.toSnapshot()};
    }
    const records = this.recent.filter(record => record.offset >= offset);
    return {kind: 'records', records};
  }

  /**
   * Takes what another VM exported and returns what it applied. What this VM
   * knows already is left out, and a gap is refused: a VM that was paused for
   * long can send nothing that turns this one back.
   */
  importRecords(transfer: ConfigTransfer): readonly AppliedConfig[] {
    if (transfer.kind === 'snapshot') {
      if (transfer.snapshot.next > this.nextOffset) {
        this.restore(transfer.snapshot);
      }
      return [];
    }
    const applied: AppliedConfig[] = [];
    for (const record of transfer.records) {
      if (record.offset !== this.nextOffset) continue;
      applied.push({record, outcome: this.apply(record)});
    }
    return applied;
  }

  toSnapshot(): ConfigSnapshot {
    return {
      next: this.nextOffset,
      clock: this.clock.toSnapshot(),
      writers: this.writers.toSnapshot(),
      teams: [...this.teams.values()].map(versions => [...versions]),
    };
  }

  private restore(snapshot: ConfigSnapshot): void {
    this.nextOffset = snapshot.next;
    this.clock = new LogClock(snapshot.clock);
    this.writers = new WriterTable(snapshot.writers);
    this.recent.length = 0;
    this.teams.clear();
    for (const versions of snapshot.teams) {
      const team = versions[0]?.team;
      if (team !== undefined) this.teams.set(team, [...versions]);
    }
  }

  private addRecent(record: LoggedRecord<ConfigRecord>): void {
    if (record.value.kind === 'checkpoint_part') {
      // A checkpoint's text would be kept and sent many times over; who lacks
      // records before it gets the snapshot.
      this.recent.length = 0;
      return;
    }
    this.recent.push(record);
    if (this.recent.length > MAX_RECENT_RECORDS) this.recent.shift();
  }

  private decideOutcome({
    value,
    offset,
    timeMs,
  }: LoggedRecord<ConfigRecord>): ConfigOutcome {
    return value.kind === 'config_published'
      ? this.publish(value, offset, timeMs)
      : {kind: 'accepted', version: offset};
  }

  private publish(
    value: PublishedConfig,
    offset: number,
    timeMs: number,
  ): ConfigOutcome {
    const current = this.current(value.team);
    const version = current?.version ?? NO_VERSION;
    // Two operators publish at once, each from the same version: the second
    // would undo the first unseen. It names what it was based on, and the
    // log's order makes it the loser on every VM.
    if (value.basedOn !== version) {
      return {
        kind: 'lost_race',
        basedOn: value.basedOn,
        current: version,
        author: current?.author,
      };
    }
    const problem = this.check(value.text, value.team);
    if (problem !== undefined) return {kind: 'invalid', problem};
    const {team, basedOn, author, text} = value;
    const versions = this.teams.get(team) ?? [];
    versions.push({
      team,
      version: offset,
      basedOn,
      author,
      text,
      publishedAtMs: timeMs,
    });
    this.teams.set(team, versions.slice(-MAX_VERSIONS_PER_TEAM));
    return {kind: 'accepted', version: offset};
  }

  private storeOutcome(stamp: Stamp, outcome: ConfigOutcome): void {
    this.outcomes.set(buildStampKey(stamp), outcome);
    for (const key of this.outcomes.keys()) {
      if (this.outcomes.size <= MAX_OUTCOMES) return;
      this.outcomes.delete(key);
    }
  }
}
