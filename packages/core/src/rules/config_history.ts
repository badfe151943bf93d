/**
 * Folds the stream `config` into each team's history of versions. When operators
 * publish concurrently, the order of the log decides, so that every reader
 * accepts the same version. An accepted version is never revoked, only replaced
 * by a later one.
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
  buildWriterKey,
  type WriterEntry,
  WriterTable,
} from '../ledger/writer_table.js';

/**
 * Returns what is wrong with a rule set that `team` publishes, or undefined if
 * it is valid.
 */
export type CheckConfig = (text: string, team: TeamId) => string | undefined;

/** An accepted publication. */
export interface ConfigVersion {
  readonly team: TeamId;
  /** Offset of the record in the stream. */
  readonly version: number;
  readonly basedOn: number;
  readonly author: string;
  readonly text: string;
  /** Time of the record in the log, Unix ms. */
  readonly publishedAtMs: number;
}

/** Outcome of one publication. */
export type ConfigOutcome =
  | {readonly kind: 'accepted'; readonly version: number}
  | {
      /**
       * The publication is not based on the version in force, because another
       * came first.
       */
      readonly kind: 'lost_race';
      readonly basedOn: number;
      /** The version now in force; -1 for none. */
      readonly current: number;
      readonly author?: string;
    }
  | {readonly kind: 'invalid'; readonly problem: string}
  /** A duplicate; the outcome of the earlier record counts. */
  | {readonly kind: 'copy'};

/** The complete history as plain data. */
export interface ConfigSnapshot {
  readonly next: number;
  readonly clock: LogClockSnapshot;
  readonly writers: readonly WriterEntry[];
  readonly teams: ReadonlyArray<readonly ConfigVersion[]>;
}

/** An applied record and its outcome. */
export interface AppliedConfig {
  readonly record: LoggedRecord<ConfigRecord>;
  readonly outcome: ConfigOutcome;
}

/**
 * What a VM sends to another one whose log connection delivers nothing: the
 * records from the requested offset on, or a snapshot if some of those are no
 * longer cached.
 */
export type ConfigTransfer =
  | {
      readonly kind: 'records';
      readonly records: ReadonlyArray<LoggedRecord<ConfigRecord>>;
    }
  | {readonly kind: 'snapshot'; readonly snapshot: ConfigSnapshot};

/** Version number of a team that has no configuration yet. */
export const NO_VERSION = -1;
/**
 * Maximum number of versions retained per team; older ones are in the audit
 * export.
 */
const MAX_VERSIONS_PER_TEAM = 10;
/** How long a writer is tracked after its last record, to detect duplicates. */
const WRITER_RETENTION_MS = 3_600_000;
/** Maximum number of records cached for transfers to other VMs. */
const MAX_RECENT_RECORDS = 64;
/**
 * Maximum number of outcomes cached for operators who query them after
 * publishing.
 */
const MAX_OUTCOMES = 1000;

function buildStampKey(stamp: Stamp): string {
  return `${buildWriterKey(stamp)}/${stamp.seq}`;
}

/**
 * Each team's configuration after all records before `next` have been applied.
 */
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

  /** Adjusted log time at the last applied record. */
  get nowMs(): number {
    return this.clock.nowMs;
  }

  /** Returns the highest sequence number of a writer; 0 for none. */
  highestSeqOf(writer: string): number {
    return this.writers.highestSeqOf(writer);
  }

  /** Returns the version in force for a team. */
  current(team: TeamId): ConfigVersion | undefined {
    return this.teams.get(team)?.at(-1);
  }

  /** Returns the retained versions of a team, oldest first. */
  history(team: TeamId): readonly ConfigVersion[] {
    return this.teams.get(team) ?? [];
  }

  listTeams(): readonly TeamId[] {
    return [...this.teams.keys()];
  }

  /**
   * Returns the outcome of the publication with this stamp, if it is cached.
   */
  outcomeOf(stamp: Stamp): ConfigOutcome | undefined {
    return this.outcomes.get(buildStampKey(stamp));
  }

  /** Applies the next record and returns its outcome. */
  apply(record: LoggedRecord<ConfigRecord>): ConfigOutcome {
    this.nextOffset = record.offset + 1;
    this.addRecent(record);
    const nowMs = this.clock.advance(record.timeMs);
    this.writers.dropBefore(nowMs - WRITER_RETENTION_MS);
    const {value} = record;
    if (!this.writers.recordIfNew(value.stamp, nowMs)) return {kind: 'copy'};
    const outcome = this.decideOutcome(record);
    this.storeOutcome(value.stamp, outcome);
    return outcome;
  }

  /** Returns what a VM that is missing the records from `offset` on needs. */
  exportRecords(offset: number): ConfigTransfer {
    const first = this.recent[0]?.offset ?? this.nextOffset;
    if (offset < first) {
      return {kind: 'snapshot', snapshot: this.toSnapshot()};
    }
    const records = this.recent.filter(record => record.offset >= offset);
    return {kind: 'records', records};
  }

  /**
   * Applies what another VM exported and returns the applied records. Records
   * that this VM already has, and records after a gap, are ignored, so that an
   * outdated transfer cannot move this VM back to an earlier version. A snapshot
   * replaces the state if it is newer, and yields no records.
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
      // Checkpoint texts are not cached, as they would be sent repeatedly. A VM
      // that is missing earlier records gets the snapshot instead.
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
    // If two operators publish concurrently from the same version, the second
    // publication would silently undo the first. Since each names the version it
    // is based on, every VM rejects the one that is later in the log.
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
