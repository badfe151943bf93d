/**
 * The task that owns this VM's side of the platform's log: one writer and one
 * reader a stream, the folds, and the VM's session. Everything else asks it.
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
  /** Appends a second that all VMs together may make. */
  readonly deploymentAppendsPerSecond: number;
  readonly claimHorizonMs: number;
  /** How long the log keeps a record, as its operators state it. */
  readonly logRetentionMs: number;
  /** How long this VM trusts its configuration while the log is down for all. */
  readonly notReadyAfterMs?: number;
  /** The same check on every VM, or they would disagree on versions. */
  readonly checkConfig: CheckConfig;
}

/** What the task tells those who observe `changes`. */
export type LogChange =
  | {readonly kind: 'state'; readonly judged: JudgedRecord<StateRecord>}
  | {
      readonly kind: 'config';
      readonly record: LoggedRecord<ConfigRecord>;
      readonly outcome: ConfigOutcome;
    }
  /** The folds were replaced: look at all of them anew. */
  | {readonly kind: 'reset'}
  | {readonly kind: 'health'; readonly health: LogHealth};

/** How this VM stands with the log. */
export interface LogHealth {
  /** Unix ms of the last read that succeeded; 0 for none. */
  readonly lastReadAtMs: number;
  /** Unix ms since which reads fail; undefined when they do not. */
  readonly outageSinceMs: number | undefined;
  /** Whether all records that the log had were read, on each stream. */
  readonly caughtUp: boolean;
  /** Whether the start of a stream was dropped and no checkpoint was found. */
  readonly seeking: boolean;
  readonly stateNext: number;
  readonly configNext: number;
  readonly pending: number;
}

/** What this VM hears of the others, for judging its own configuration. */
export interface PeerView {
  /** Live VMs by the VM list, this one left out. */
  readonly otherVmCount: number;
  readonly livePeers: readonly VmId[];
  /** Greatest `config` offset that any VM told of. */
  readonly highestConfigNext: number;
}

/** How often due renewals are looked for. */
const TICK_INTERVAL_MS = 250;

type StateWriter = LogWriter<StateRecord, JudgedRecord<StateRecord>>;
type ConfigWriter = LogWriter<ConfigRecord, ConfigOutcome>;

/** One instance a VM. */
export class LogTask {
  /** This VM's share of appends, over all of its streams. */
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

  /** The folded stream `state`; read only, and only until the next turn. */
  get state(): StateFold {
    return this.stateFold;
  }

  /** The folded stream `config`. */
  get config(): ConfigHistory {
    return this.configHistory;
  }

  /** Folded changes, in the order of the log. */
  get changes(): Stream<LogChange> {
    return this.changeSource.stream;
  }

  start(): void {
    this.stateFollower.start();
    this.configFollower.start();
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
  }

  /** Stops at once; leases lapse by themselves. Call `leave` before to end well. */
  stop(): void {
    clearInterval(this.timer);
    this.stateFollower.stop();
    this.configFollower.stop();
    this.stateWriter.close();
    this.configWriter.close();
    this.changeSource.end();
  }

  /** Gives back all leases at once, so that others need not wait for a lapse. */
  closeSession(): Promise<void> {
    return this.leaseHolder.closeSession();
  }

  /** Live VMs share the deployment's budget of appends evenly. */
  setLiveVms(count: number): void {
    const share = this.cfg.deploymentAppendsPerSecond / Math.max(1, count);
    this.budget.setAppendsPerSecond(share);
  }

  /** Appends a record; resolves when it is read back and judged. */
  append(body: StateBody): Promise<Result<JudgedRecord<StateRecord>>> {
    this.stateFollower.hurry();
    return this.stateWriter.append(body);
  }

  /** Publishes a configuration; resolves when the log has decided on it. */
  publish(publication: {
    readonly team: TeamId;
    readonly basedOn: number;
    readonly author: string;
    readonly text: string;
  }): Promise<Result<ConfigOutcome>> {
    this.configFollower.hurry();
    return this.configWriter.append({kind: 'config_published', ...publication});
  }

  /**
   * Claims a lease and returns the fencing number. Fails with `not_owner` when
   * another live session holds it.
   */
  claim(lease: string): Promise<Result<number>> {
    return this.leaseHolder.claim(lease);
  }

  /** Whether a record or a lease is of this life of this VM. */
  isOwn(stamp: Pick<Stamp, 'vm' | 'incarnation'>): boolean {
    return buildWriterKey(stamp) === buildWriterKey(this.cfg);
  }

  /** Gives a lease back. */
  release(held: HeldLease): Promise<void> {
    return this.leaseHolder.release(held);
  }

  /** Whether this VM may act on the lease now. */
  holds(held: HeldLease): boolean {
    return this.leaseHolder.holds(held);
  }

  /** Log time as far as this VM can tell, for judging whether leases lapsed. */
  estimateLogNowMs(): number {
    return this.stateFollower.estimateLogNowMs();
  }

  /** What a VM needs that lacks the `config` records from `offset` on. */
  exportConfig(offset: number): ConfigTransfer {
    return this.configHistory.exportRecords(offset);
  }

  /** Takes `config` records from another VM; returns whether they were news. */
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
      const own = this.configHistory.highestSeqOf(buildWriterKey(this.cfg));
      this.configWriter.failThrough(own);
      this.changeSource.emit({kind: 'reset'});
    }
    return true;
  }

  /**
   * Whether `state` was read to its end since the start. Before that, a step
   * that is not found may well exist.
   */
  get hasReadState(): boolean {
    return this.stateFollower.status().hasBeenCaughtUp;
  }

  /** Whether this VM can know that its configuration is the one in force. */
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
      const own = this.stateFold.highestSeqOf(buildWriterKey(this.cfg));
      this.stateWriter.failThrough(own);
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
      // A configuration counts for ever, so nothing can stand for a lost one.
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
