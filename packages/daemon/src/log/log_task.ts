/**
 * The task that owns this VM's access to the platform's log: one writer and one
 * reader per stream, the folds, and the VM's session. All other code uses the
 * log through it.
 */

import {
  type CheckConfig,
  ConfigHistory,
  type ConfigOutcome,
  type ConfigSnapshot,
  type ConfigTransfer,
  type AppliedConfig,
} from '@radishyoke/core/rules/config_history';
import {
  type ConfigFreshness,
  ConfigFreshnessTracker,
  DEFAULT_CONFIG_FRESHNESS_TIMING,
} from '@radishyoke/core/ledger/config_freshness';
import {splitCheckpoint} from '@radishyoke/core/ledger/checkpoint';
import {
  createEmptySnapshot,
  measureStateSpanMs,
  StateFold,
  type StateSnapshot,
} from '@radishyoke/core/ledger/state_fold';
import type {JudgedRecord} from '@radishyoke/core/ledger/verdict';
import {buildWriterKey} from '@radishyoke/core/ledger/writer_table';
import {AppendBudget} from '@radishyoke/stores/append_budget';
import type {LogClient} from '@radishyoke/stores/log_client';
import {
  LOG_WRITER_DEFAULTS,
  LogWriter,
  type Unstamped,
} from '@radishyoke/stores/log_writer';
import type {IncarnationId, TeamId, VmId} from '@radishyoke/shared/ids';
import type {
  ConfigRecord,
  LoggedRecord,
  Stamp,
  StateRecord,
} from '@radishyoke/shared/log_record';
import type {Result} from '@radishyoke/shared/result';
import type {Stream} from 'most';
import {EventSource} from './event_source.js';
import {type HeldLease, LeaseHolder} from './lease_holder.js';
import type {SessionTiming} from './session_tracker.js';
import {FoldPort, StreamFollower} from './stream_follower.js';

export type StateBody = Unstamped<StateRecord>;

export interface LogTaskConfig {
  readonly vm: VmId;
  readonly incarnation: IncarnationId;
  readonly session: SessionTiming;
  /** Appends per second allowed for all VMs together. */
  readonly deploymentAppendsPerSecond: number;
  readonly claimHorizonMs: number;
  /** How long the log retains a record, according to its operators. */
  readonly logRetentionMs: number;
  /**
   * How long the configuration stays valid while the log is down for all VMs.
   */
  readonly notReadyAfterMs?: number;
  /** Must be the same check on every VM, or they would disagree on versions. */
  readonly checkConfig: CheckConfig;
}

/** An event of the stream `changes`. */
export type LogChange =
  | {readonly kind: 'state'; readonly judged: JudgedRecord<StateRecord>}
  | {
      readonly kind: 'config';
      readonly record: LoggedRecord<ConfigRecord>;
      readonly outcome: ConfigOutcome;
    }
  /** The folds were replaced; everything derived from them is stale. */
  | {readonly kind: 'reset'}
  | {readonly kind: 'health'; readonly health: LogHealth};

/** State of this VM's access to the log. */
export interface LogHealth {
  /** Unix ms of the last successful read; 0 if there was none. */
  readonly lastReadAtMs: number;
  /** Unix ms since which reads have failed; undefined while they succeed. */
  readonly outageSinceMs: number | undefined;
  /**
   * Whether all records that the log had at the last read are folded, on both
   * streams.
   */
  readonly caughtUp: boolean;
  /**
   * Whether a stream's first records are gone and no checkpoint has been found
   * yet.
   */
  readonly seeking: boolean;
  readonly stateNext: number;
  readonly configNext: number;
  readonly pending: number;
}

/** What this VM knows about the others, for assessing its own configuration. */
export interface PeerView {
  /** Number of live VMs on the VM list, excluding this one. */
  readonly otherVmCount: number;
  /** VMs that the membership considers live, excluding this one. */
  readonly livePeers: readonly VmId[];
  /** Highest next offset of stream `config` that any VM has reported. */
  readonly highestConfigNext: number;
}

/** Interval at which session renewals and checkpoints are checked. */
const TICK_INTERVAL_MS = 250;

type StateWriter = LogWriter<StateRecord, JudgedRecord<StateRecord>>;
type ConfigWriter = LogWriter<ConfigRecord, ConfigOutcome>;

/** Reads and writes the streams `state` and `config` for one VM. */
export class LogTask {
  /** This VM's share of the append rate, over all streams. */
  readonly budget: AppendBudget;
  private readonly stateWriter: StateWriter;
  private readonly configWriter: ConfigWriter;
  private readonly stateFollower: StreamFollower<StateRecord>;
  private readonly configFollower: StreamFollower<ConfigRecord>;
  private readonly changeSource = new EventSource<LogChange>();
  private readonly leaseHolder: LeaseHolder;
  private readonly configFreshness: ConfigFreshnessTracker;
  private readonly jitter = Math.random();
  private isCheckpointing = false;
  private stateFold: StateFold;
  private configHistory: ConfigHistory;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    client: LogClient,
    private readonly cfg: LogTaskConfig,
  ) {
    this.budget = new AppendBudget(cfg.deploymentAppendsPerSecond);
    this.leaseHolder = new LeaseHolder({
      vm: cfg.vm,
      incarnation: cfg.incarnation,
      timing: cfg.session,
      getFold: () => this.stateFold,
      append: body => this.append(body),
    });
    const validityMs =
      cfg.notReadyAfterMs ?? DEFAULT_CONFIG_FRESHNESS_TIMING.logDownMs;
    this.configFreshness = new ConfigFreshnessTracker(
      {
        ...DEFAULT_CONFIG_FRESHNESS_TIMING,
        logDownMs: validityMs,
        cutOffMs: Math.min(
          validityMs,
          DEFAULT_CONFIG_FRESHNESS_TIMING.cutOffMs,
        ),
      },
      performance.now(),
    );
    this.stateFold = new StateFold({claimHorizonMs: cfg.claimHorizonMs});
    this.configHistory = new ConfigHistory(cfg.checkConfig);
    const writer = {vm: cfg.vm, incarnation: cfg.incarnation};
    this.stateWriter = new LogWriter(client, this.budget, {
      ...LOG_WRITER_DEFAULTS,
      ...writer,
      stream: 'state',
    });
    this.configWriter = new LogWriter(client, this.budget, {
      ...LOG_WRITER_DEFAULTS,
      ...writer,
      stream: 'config',
    });
    const onHealth = () =>
      this.changeSource.emit({kind: 'health', health: this.health()});
    this.stateFollower = new StreamFollower<StateRecord>(
      client,
      'state',
      this.createStatePort(),
      cfg.session.ttlMs,
      onHealth,
    );
    this.configFollower = new StreamFollower<ConfigRecord>(
      client,
      'config',
      this.createConfigPort(),
      cfg.session.ttlMs,
      onHealth,
    );
  }

  /**
   * The folded stream `state`. Callers must not modify it or keep it across
   * turns.
   */
  get state(): StateFold {
    return this.stateFold;
  }

  /** The folded stream `config`. */
  get config(): ConfigHistory {
    return this.configHistory;
  }

  /** Changes to the folds in log order, and changes of the log's health. */
  get changes(): Stream<LogChange> {
    return this.changeSource.stream;
  }

  start(): void {
    this.stateFollower.start();
    this.configFollower.start();
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
  }

  /**
   * Stops immediately; this VM's leases are held until they expire. To release
   * them, call `closeSession` first.
   */
  stop(): void {
    clearInterval(this.timer);
    this.stateFollower.stop();
    this.configFollower.stop();
    this.stateWriter.close();
    this.configWriter.close();
    this.changeSource.end();
  }

  /**
   * Closes the session, which releases all leases at once, so that others need
   * not wait for them to expire.
   */
  closeSession(): Promise<void> {
    return this.leaseHolder.closeSession();
  }

  /**
   * Sets the number of live VMs, which share the deployment's append rate
   * evenly.
   */
  setLiveVms(count: number): void {
    const share = this.cfg.deploymentAppendsPerSecond / Math.max(1, count);
    this.budget.setAppendsPerSecond(share);
  }

  /** Appends a record; resolves with its verdict when it has been read back. */
  append(body: StateBody): Promise<Result<JudgedRecord<StateRecord>>> {
    this.stateFollower.skipPause();
    return this.stateWriter.append(body);
  }

  /**
   * Publishes a configuration; resolves with the outcome once it has been read
   * back.
   */
  publish(publication: {
    readonly team: TeamId;
    readonly basedOn: number;
    readonly author: string;
    readonly text: string;
  }): Promise<Result<ConfigOutcome>> {
    this.configFollower.skipPause();
    return this.configWriter.append({kind: 'config_published', ...publication});
  }

  /**
   * Claims a lease and returns the fencing number. Fails with `not_owner` when
   * another live session holds it.
   */
  claim(lease: string): Promise<Result<number>> {
    return this.leaseHolder.claim(lease);
  }

  /** Whether a record or lease belongs to this incarnation of this VM. */
  isOwn(stamp: Pick<Stamp, 'vm' | 'incarnation'>): boolean {
    return buildWriterKey(stamp) === buildWriterKey(this.cfg);
  }

  /** Releases a lease. */
  release(held: HeldLease): Promise<void> {
    return this.leaseHolder.release(held);
  }

  /** Whether this VM may act on the lease now. */
  holds(held: HeldLease): boolean {
    return this.leaseHolder.holds(held);
  }

  /**
   * Estimates the current log time, for deciding whether leases have expired.
   */
  estimateLogNowMs(): number {
    return this.stateFollower.estimateLogNowMs();
  }

  /**
   * Exports what a VM needs that lacks the `config` records from `offset` on.
   */
  exportConfig(offset: number): ConfigTransfer {
    return this.configHistory.exportRecords(offset);
  }

  /**
   * Applies `config` records from another VM; returns whether any of them were
   * new.
   */
  importConfig(transfer: ConfigTransfer): boolean {
    const previousNext = this.configHistory.next;
    const applied = this.configHistory.importRecords(transfer);
    if (this.configHistory.next === previousNext) return false;
    this.configFollower.moveToFold();
    this.configFreshness.recordAdopted(
      this.configHistory.next,
      performance.now(),
    );
    for (const judged of applied) this.emitConfig(judged);
    if (transfer.kind === 'snapshot') {
      const ownHighestSeq = this.configHistory.highestSeqOf(
        buildWriterKey(this.cfg),
      );
      this.configWriter.failThrough(ownHighestSeq);
      this.changeSource.emit({kind: 'reset'});
    }
    return true;
  }

  /**
   * Whether `state` has been read to its end since the start. Before that, a
   * step that is not found may still exist.
   */
  get hasReadState(): boolean {
    return this.stateFollower.status().hasBeenCaughtUp;
  }

  /**
   * Assesses whether this VM can be sure that its configuration is the current
   * one of the deployment.
   */
  assessConfigFreshness({
    otherVmCount,
    livePeers,
    highestConfigNext,
  }: PeerView): ConfigFreshness {
    const nowMs = performance.now();
    const {caughtUp, next, lastReadMonotonicMs} = this.configFollower.status();
    this.configFreshness.recordFolded(next);
    if (caughtUp) this.configFreshness.recordRead(next, lastReadMonotonicMs);
    for (const vm of livePeers)
      this.configFreshness.recordPeerNext(vm, highestConfigNext, nowMs);
    return this.configFreshness.assess(otherVmCount, nowMs);
  }

  health(): LogHealth {
    const state = this.stateFollower.status();
    const config = this.configFollower.status();
    const starts = [state.failingSinceMs, config.failingSinceMs].filter(
      start => start !== undefined,
    );
    return {
      lastReadAtMs: Math.min(state.lastReadAtMs, config.lastReadAtMs),
      outageSinceMs: starts.length === 0 ? undefined : Math.min(...starts),
      caughtUp: state.caughtUp && config.caughtUp,
      seeking: state.seeking || config.seeking,
      stateNext: state.next,
      configNext: config.next,
      pending: this.stateWriter.pendingCount + this.configWriter.pendingCount,
    };
  }

  private createStatePort(): FoldPort<StateRecord> {
    const {claimHorizonMs} = this.cfg;
    const replace = (snapshot: StateSnapshot) => {
      this.stateFold = new StateFold({claimHorizonMs}, snapshot);
      const ownHighestSeq = this.stateFold.highestSeqOf(
        buildWriterKey(this.cfg),
      );
      this.stateWriter.failThrough(ownHighestSeq);
      this.changeSource.emit({kind: 'reset'});
    };
    return {
      isAwaited: () => this.stateWriter.pendingCount > 0,
      next: () => this.stateFold.next,
      nowMs: () => this.stateFold.nowMs,
      apply: record => this.applyState(record),
      restore: snapshot => replace(snapshot as StateSnapshot),
      startEmpty: (oldest, windowMs) => {
        if (windowMs < measureStateSpanMs({claimHorizonMs})) return false;
        replace(createEmptySnapshot(oldest, claimHorizonMs));
        return true;
      },
    };
  }

  private createConfigPort(): FoldPort<ConfigRecord> {
    return {
      isAwaited: () => this.configWriter.pendingCount > 0,
      next: () => this.configHistory.next,
      nowMs: () => this.configHistory.nowMs,
      apply: record => this.applyConfig(record),
      restore: snapshot => {
        this.importConfig({
          kind: 'snapshot',
          snapshot: snapshot as ConfigSnapshot,
        });
      },
      // Configurations never expire, so starting empty would lose those in
      // force.
      startEmpty: () => false,
    };
  }

  private applyState(record: LoggedRecord<StateRecord>): void {
    const verdict = this.stateFold.apply(record);
    const judged = {record, verdict};
    if (!(verdict.kind === 'void' && verdict.reason === 'copy')) {
      this.stateWriter.settle(record.value.stamp, judged);
    }
    this.changeSource.emit({kind: 'state', judged});
  }

  private applyConfig(record: LoggedRecord<ConfigRecord>): void {
    const outcome = this.configHistory.apply(record);
    this.emitConfig({record, outcome});
  }

  private emitConfig({record, outcome}: AppliedConfig): void {
    if (outcome.kind === 'copy') return;
    this.configWriter.settle(record.value.stamp, outcome);
    this.changeSource.emit({kind: 'config', record, outcome});
  }

  private tick(): void {
    void this.writeDueCheckpoints();
    this.leaseHolder.tick();
  }

  private async writeDueCheckpoints(): Promise<void> {
    if (this.isCheckpointing) return;
    this.isCheckpointing = true;
    const timing = {
      retentionMs: this.cfg.logRetentionMs,
      jitter: this.jitter,
    };
    if (this.stateFollower.isCheckpointDue(timing)) {
      const snapshot = this.stateFold.toSnapshot();
      const parts = splitCheckpoint(snapshot.next, snapshot);
      await Promise.all(parts.map(part => this.stateWriter.append(part)));
    }
    if (this.configFollower.isCheckpointDue(timing)) {
      const snapshot = this.configHistory.toSnapshot();
      const parts = splitCheckpoint(snapshot.next, snapshot);
      await Promise.all(parts.map(part => this.configWriter.append(part)));
    }
    this.isCheckpointing = false;
  }
}
