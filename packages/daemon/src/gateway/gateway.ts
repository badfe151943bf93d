/**
 * The gateway process of one VM, for a platform that stores configuration,
 * endpoints and batches in its log. Creates the tasks, connects them, and starts
 * and stops them in order.
 */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  BESIDE_LARGE_SHARE,
  type CallerLimits,
} from '@radishyoke/wire/caller_limits';
import {
  ConnectionGuard,
  type ConnectionLimits,
} from '@radishyoke/wire/connection_guard';
import {listenAt} from '@radishyoke/wire/listen';
import {MemoryBudget} from '@radishyoke/wire/memory_budget';
import {sendWhole} from '@radishyoke/wire/whole_answer';
import type {EventLogger} from '../logger.js';
import {BatchApi} from './batches/batch_api.js';
import {IndexReplicas} from './batches/index_replica.js';
import {BatchRunner} from './batches/batch_runner.js';
import type {CallerProtocol} from './requests/caller_protocol.js';
import {ConfigHolder} from './store/config_holder.js';
import {CrashRegistry} from '@radishyoke/core/crashes/crash_registry';
import type {ControlApi} from './control/control_api.js';
import {CrashReplicator} from './crashes/crash_replicator.js';
import {CrashWatch} from './crashes/crash_watch.js';
import {UsageMeter} from './usage/usage_meter.js';
import {UsageTask, type UsageTerms} from './usage/usage_task.js';
import {EndpointLinks} from './endpoints/endpoint_links.js';
import type {EndpointProtocol} from './endpoints/endpoint_protocol.js';
import {type ClassDurations, EndpointView} from './endpoints/endpoint_view.js';
import {AdmissionGate} from './requests/admission_gate.js';
import {Forwarder} from './requests/forwarder.js';
import {FrontServer, type LimitCounts} from './requests/front_server.js';
import {GatewayMetrics} from './gateway_metrics.js';
import {KeyedFeed} from './store/keyed_feed.js';
import {LeaseTask} from './engines/lease_task.js';
import type {KeyedRecord, LogStore} from './store/log_store.js';
import {MeteredStore} from './store/metered_store.js';
import type {PlatformDirectory} from './store/platform_directory.js';
import {SkippedRecords} from './store/skipped_records.js';
import {RosterChangeLogger} from './store/roster_change_logger.js';
import {VmClock} from './vm_clock.js';

export interface GatewayConfig {
  readonly vmName: string;
  /** Unique for each start of the process. */
  readonly incarnationId: string;
  readonly dataCentre: string;
  /** Listen address for callers, `ip:port`. */
  readonly frontAddress: string;
  /** Listen address for the readiness checks of the load balancer, `ip:port`. */
  readonly readyAddress: string;
  /** Path of the readiness check. */
  readonly readyPath: string;
  /** Listen address for metrics, `ip:port`. Without it no metrics are served. */
  readonly metricsAddress?: string;
  /** Minimum time between the last order of one coordinator and the first of the next, ms. */
  readonly orderLeaseMs: number;
  /** Whether engines refuse orders whose fencing token is older than one they have seen. */
  readonly isFencingEnforced: boolean;
  /** Time limit from a request to stop until the process ends, ms. */
  readonly graceMs: number;
  /** What callers may hold of this VM. */
  readonly callerLimits: CallerLimits;
  /** Added to the silence after which this VM claims the lease, ms. */
  readonly claimDelayMs: number;
  /**
   * Whether callers may ask for more than the endpoints can serve, so that it is
   * decided who is served first, who waits and who is refused.
   */
  readonly isCapacityContended: boolean;
  /** Maximum time for which an API key is accepted after it was last confirmed as valid, ms; unlimited if undefined. */
  readonly maxKeyAgeMs?: number;
  /** Present if usage is reported. */
  readonly usage?: UsageTerms;
}

export interface GatewayDeps {
  readonly store: LogStore;
  readonly directory: PlatformDirectory;
  readonly callers: CallerProtocol;
  readonly endpoints: EndpointProtocol;
  /** Present if the platform has calls that only the coordinator makes. */
  readonly control?: ControlApi;
  readonly logger: EventLogger;
}

/** Pause after a read of the endpoint list that returned records, ms. Endpoints write to it continuously, and a change may take up to 2 s to have effect. */
const ROSTER_GATHER_MS = 350;
/** Pause after a read of the configuration that returned records, ms: only long enough to combine bursts. */
const CONFIG_GATHER_MS = 30;
/** Long poll of the configuration and the endpoint list, ms. A read that takes longer is abandoned with its connection, so that a silent connection does not hide a change for more than the 2 s within which it must have effect. */
const FEED_WAIT_MS = 700;
/** An endpoint stays in use for this long after its entry was removed, ms. Endpoints keep serving for at least 2 s, and an entry that the store lost reappears within that time. */
const GONE_GRACE_MS = 1200;
/** The VM reports that it is not ready once the log has been silent for this long, ms. With a lower limit a single slow answer would be enough. */
const MAX_LOG_SILENCE_MS = 1800;
const SWEEP_MS = 500;
/** Limits of the listeners for the load balancer and for scrapers, each of which has a few connections. */
const PROBE_LIMITS: ConnectionLimits = {
  maxConnections: 16,
  maxRequestsAhead: 4,
};
/** Time until the load balancer sends no new connections, ms. It checks once per second and removes a VM after two failed checks. */
const BALANCER_REMOVAL_MS = 3200;
/** Part of the grace period that is reserved for delivering the last answers, ms. */
const GRACE_SLACK_MS = 600;
/** Time for sending the answers of requests that are unfinished at the end of the grace period, ms. */
const LAST_ANSWERS_MS = 100;

export class Gateway {
  readonly metrics = new GatewayMetrics();
  private readonly clock = new VmClock();
  private readonly store: LogStore;
  private readonly roster = new EndpointRoster(GONE_GRACE_MS);
  private readonly rosterChangeLogger: RosterChangeLogger;
  /** What is held for callers, answers of endpoints included. */
  private readonly memory: MemoryBudget;
  private readonly links: EndpointLinks;
  private readonly skippedConfig: SkippedRecords;
  private readonly skippedEndpoints: SkippedRecords;
  private readonly view: EndpointView;
  private readonly newestVersions = new Map<string, number>();
  private readonly config: ConfigHolder;
  private readonly replicas: IndexReplicas;
  private readonly lease: LeaseTask;
  private readonly front: FrontServer;
  private reportedLimits: LimitCounts;
  /** Present if callers may ask for more than the endpoints can serve. */
  private readonly admission: AdmissionGate | undefined;
  private readonly readiness: http.Server;
  private readonly metricsServer: http.Server;
  private readonly feeds: readonly KeyedFeed[];
  private readonly meter: UsageMeter | undefined;
  private readonly crashReplicator: CrashReplicator;
  private readonly crashes: CrashWatch;
  private runner: BatchRunner | undefined;
  private usageTask: UsageTask | undefined;
  private contactMs = -Infinity;
  private nextTerm = 1;
  private wasRosterRead = false;
  private isServing = false;
  private isStopping = false;
  private starting: Promise<void> | undefined;
  private ending: Promise<void> | undefined;
  private sweepTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly cfg: GatewayConfig,
    private readonly deps: GatewayDeps,
  ) {
    const {directory, callers, endpoints, logger} = deps;
    const store = new MeteredStore(deps.store, this.metrics);
    this.store = store;
    this.memory = new MemoryBudget(
      cfg.callerLimits.maxHeldBytes,
      BESIDE_LARGE_SHARE,
    );
    this.links = new EndpointLinks(this.memory);
    this.rosterChangeLogger = new RosterChangeLogger(logger);
    this.skippedConfig = new SkippedRecords(this.metrics, logger);
    this.skippedEndpoints = new SkippedRecords(this.metrics, logger);
    this.view = new EndpointView(cfg);
    this.config = new ConfigHolder(logger, cfg.maxKeyAgeMs);
    this.replicas = new IndexReplicas(store, logger);
    this.lease = new LeaseTask(
      store,
      this.clock,
      cfg,
      () => this.hasDeployment,
      isNamed => this.onLeaseChange(isNamed),
      logger,
    );
    const registry = new CrashRegistry(Math.random());
    this.crashReplicator = new CrashReplicator(
      store,
      directory.crashTopic,
      registry,
      fingerprint => this.crashes.onRemoteUpdate(fingerprint),
      logger,
    );
    this.crashes = new CrashWatch({
      registry,
      publisher: this.crashReplicator,
      metrics: this.metrics,
      logger,
    });
    this.metrics.registerGauge('crash_suspects', () => registry.size);
    this.meter = cfg.usage && new UsageMeter(store, cfg, cfg.usage.windowMs);
    this.admission = cfg.isCapacityContended
      ? this.createAdmissionGate()
      : undefined;
    const forwarder = new Forwarder({
      roster: this.roster,
      links: this.links,
      view: this.view,
      protocol: endpoints,
      dataCentre: cfg.dataCentre,
      crashes: this.crashes,
      ...(this.admission ? {admission: this.admission} : {}),
      ...(this.meter ? {meter: this.meter} : {}),
      metrics: this.metrics,
      logger,
    });
    const batches = new BatchApi({
      store,
      replicas: this.replicas,
      protocol: callers,
      config: this.config,
      isCapacityContended: cfg.isCapacityContended,
      metrics: this.metrics,
      logger,
      memory: this.memory,
    });
    this.front = new FrontServer({
      protocol: callers,
      config: this.config,
      forwarder,
      batches,
      metrics: this.metrics,
      logger,
      limits: cfg.callerLimits,
      memory: this.memory,
    });
    this.readiness = http.createServer((req, res) =>
      this.answerReady(req, res),
    );
    this.metricsServer = http.createServer((_, res) => {
      sendWhole(
        res,
        200,
        {'Content-Type': 'text/plain'},
        this.metrics.render(),
      );
    });
    for (const server of [this.readiness, this.metricsServer]) {
      new ConnectionGuard(server, PROBE_LIMITS, this.memory);
    }
    const {metrics} = this;
    this.reportedLimits = this.front.limitCounts;
    metrics.registerGauge('held_bytes', () => this.memory.heldBytes);
    metrics.registerGauge('held_bytes_limit', () => this.memory.maxBytes);
    metrics.registerGauge('held_evicted_total', () => this.memory.evictedCount);
    const configFeed = this.createFeed(
      directory.configTopic,
      CONFIG_GATHER_MS,
      record => this.applyConfigRecord(record),
    );
    this.config.attach(configFeed);
    this.feeds = [
      configFeed,
      this.createFeed(
        directory.endpointTopic,
        ROSTER_GATHER_MS,
        record => this.applyEndpointRecord(record),
        () => (this.wasRosterRead = true),
      ),
    ];
    this.config.onChange(table => {
      this.front.applyLimits();
      this.runner?.applyConfig();
      this.admission?.applyConfig(table);
    });
    this.metrics.registerGauge('config_version', () => this.config.version);
    this.metrics.registerGauge('endpoints', () => this.roster.size);
    this.metrics.registerGauge('coordinator', () =>
      Number(this.lease.isCoordinator),
    );
    this.metrics.registerGauge('log_silent_ms', () =>
      Math.round(this.clock.now() - this.contactMs),
    );
    this.registerDurations('endpoint_usual_ms', ({usualMs}) => usualMs);
    this.registerDurations('endpoint_present_ms', ({presentMs}) => presentMs);
    this.metrics.registerGauge(
      'batches_open',
      () => this.runner?.openCount ?? 0,
    );
    this.metrics.registerGauge(
      'batches_without_config',
      () => this.runner?.withoutConfigCount ?? 0,
    );
    this.metrics.registerGauge('trainer_lag_ms', () =>
      Math.round(this.runner?.longestLagMs ?? 0),
    );
  }

  private registerDurations(
    name: string,
    select: (durations: ClassDurations) => number,
  ): void {
    this.metrics.registerGaugeFamily(name, 'class', () =>
      this.view
        .measureClasses(this.clock.now())
        .map(durations => [durations.name, Math.round(select(durations))]),
    );
  }

  /** Opens the listeners and starts to follow the log. If `stop` is called meanwhile, the start is abandoned. */
  start(): Promise<void> {
    this.starting ??= this.open();
    return this.starting;
  }

  private async open(): Promise<void> {
    const {cfg, deps} = this;
    if (this.isStopping) return;
    await listenAt(this.readiness, cfg.readyAddress);
    if (cfg.metricsAddress) {
      await listenAt(this.metricsServer, cfg.metricsAddress);
    }
    await this.front.listen(cfg.frontAddress);
    if (this.isStopping) return;
    for (const feed of this.feeds) void feed.run();
    void this.crashReplicator.run();
    this.lease.start();
    this.sweepTimer = setInterval(() => this.sweep(), SWEEP_MS);
    this.isServing = true;
    deps.logger.log('info', 'started', {
      vm: cfg.vmName,
      life: cfg.incarnationId,
      front: cfg.frontAddress,
    });
  }

  /** Whether the configuration and the endpoint list have been read. */
  private get hasDeployment(): boolean {
    return this.config.table !== undefined && this.wasRosterRead;
  }

  /** Whether the load balancer should send callers to this VM. */
  get isReady(): boolean {
    if (this.isStopping || !this.hasDeployment) return false;
    return this.clock.now() - this.lastContactMs < MAX_LOG_SILENCE_MS;
  }

  /**
   * Stops after the requests in flight have finished. Later calls, such as from
   * a supervisor after an operator, return the same promise: if they resolved at
   * once, the process would end and cut off the requests in flight.
   */
  stop(): Promise<void> {
    if (this.ending) {
      const {vmName: vm} = this.cfg;
      this.deps.logger.log('info', 'asked again to stop', {vm});
      return this.ending;
    }
    this.isStopping = true;
    this.ending = this.end();
    return this.ending;
  }

  private async end(): Promise<void> {
    const {logger} = this.deps;
    logger.log('info', 'stopping', {vm: this.cfg.vmName});
    if (this.isServing) await this.drain();
    // A start in progress notices the stop once its listeners are open.
    else await this.starting?.catch(() => undefined);
    this.close();
    logger.log('info', 'stopped', {vm: this.cfg.vmName});
  }

  /** Reports the VM as not ready, then keeps serving until the load balancer has removed it and the requests in flight have finished, within the grace period. */
  private async drain(): Promise<void> {
    const endMs = this.clock.now() + this.cfg.graceMs - GRACE_SLACK_MS;
    this.front.startDrain();
    this.stopCoordinating();
    await this.lease.release();
    await sleep(BALANCER_REMOVAL_MS);
    const remainingMs = Math.max(endMs - this.clock.now(), 0);
    await Promise.race([this.finishRequests(), sleep(remainingMs)]);
    await Promise.race([this.giveUpRequests(), sleep(LAST_ANSWERS_MS)]);
  }

  private async finishRequests(): Promise<void> {
    await this.front.finish();
    await this.meter?.finish();
  }

  /** Answers what could not be finished within the grace period. */
  private async giveUpRequests(): Promise<void> {
    await this.front.giveUp();
    await this.meter?.finish();
  }

  private close(): void {
    clearInterval(this.sweepTimer);
    for (const feed of this.feeds) feed.stop();
    this.crashReplicator.stop();
    this.lease.stop();
    this.front.close();
    this.readiness.close();
    this.metricsServer.close();
    this.links.close();
    this.meter?.stop();
    this.admission?.stop();
    this.deps.control?.close();
    this.store.close();
  }

  /** Steady ms of the last answer from the log. */
  private get lastContactMs(): number {
    return Math.max(this.contactMs, this.lease.lastContactMs);
  }

  private createAdmissionGate(): AdmissionGate {
    return new AdmissionGate({
      roster: this.roster,
      getAccounts: () => this.config.table?.accounts,
      metrics: this.metrics,
      logger: this.deps.logger,
    });
  }

  private createFeed(
    topic: string,
    gatherMs: number,
    onRecord: (record: KeyedRecord) => void,
    onCaughtUp: () => void = () => undefined,
  ): KeyedFeed {
    const cfg = {topic, gatherMs, waitMs: FEED_WAIT_MS};
    const events = {
      onRecord,
      onCaughtUp,
      onContact: () => (this.contactMs = this.clock.now()),
      onRead: () => this.rosterChangeLogger.flush(),
      onReadFailed: () => undefined,
    };
    return new KeyedFeed(this.store, cfg, events, this.deps.logger);
  }

  private applyConfigRecord({key, value, offset}: KeyedRecord): void {
    if (value === undefined) return;
    const decoded = this.deps.directory.decodeConfigRecord(key, value);
    if (!decoded.ok) {
      this.skippedConfig.record(key, offset, decoded.error.detail);
      return;
    }
    this.skippedConfig.forget(key);
    switch (decoded.value.kind) {
      case 'configuration':
        this.config.offer(decoded.value.cfg);
        return;
      case 'model_version':
        this.recordModelVersion(decoded.value.model, decoded.value.version);
        return;
      case 'other':
        return;
    }
  }

  private recordModelVersion(model: string, version: number): void {
    if (version <= (this.newestVersions.get(model) ?? 0)) return;
    this.newestVersions.set(model, version);
    this.deps.logger.log('info', 'weights named', {model, version});
  }

  private applyEndpointRecord({key, value, offset}: KeyedRecord): void {
    const nowMs = this.clock.now();
    if (value === undefined) {
      this.skippedEndpoints.forget(key);
      const change = this.roster.remove(key, offset, nowMs);
      if (change) this.rosterChangeLogger.record('left', change.entry, offset);
      if (change && !change.entry.isDraining) {
        this.crashes.onEndpointGone(change.entry);
      }
      return;
    }
    const decoded = this.deps.directory.decodeEndpoint(key, value);
    if (!decoded.ok) {
      this.skippedEndpoints.record(key, offset, decoded.error.detail);
      return;
    }
    this.skippedEndpoints.forget(key);
    const {kind, entry} = this.roster.put(decoded.value, offset);
    if (kind === 'reborn') {
      this.crashes.onEndpointGone(entry);
      this.forget(entry);
    }
    if (kind !== 'stale') this.runner?.onEndpointChange(entry.id);
    this.rosterChangeLogger.record(kind, entry, offset);
  }

  private sweep(): void {
    for (const entry of this.roster.prune(this.clock.now())) {
      this.forget(entry);
    }
    this.links.prune(id => this.roster.get(id) !== undefined);
    this.front.closeLateHeads();
    this.reportLimits();
  }

  /** Writes one line if callers have met limits since the last. */
  private reportLimits(): void {
    const {reportedLimits} = this;
    const counts = this.front.limitCounts;
    const since = {
      evicted: counts.evicted - reportedLimits.evicted,
      connectionsClosed:
        counts.connectionsClosed - reportedLimits.connectionsClosed,
      connectionsRefused:
        counts.connectionsRefused - reportedLimits.connectionsRefused,
    };
    if (Object.values(since).every(count => count === 0)) return;
    this.reportedLimits = counts;
    const {heldBytes, connections} = counts;
    const fields = {...since, heldBytes, connections};
    this.deps.logger.log('warn', 'callers limited', fields);
  }

  private forget(entry: EndpointEntry): void {
    this.view.forget(entry.id);
    this.crashes.forget(entry.id);
    this.runner?.forgetEndpoint(entry.id);
  }

  private onLeaseChange(isCoordinator: boolean): void {
    this.stopCoordinating();
    if (!isCoordinator || this.isStopping) return;
    this.startUsageTask();
    const runner = new BatchRunner({
      store: this.store,
      replicas: this.replicas,
      lease: this.lease,
      roster: this.roster,
      links: this.links,
      protocol: this.deps.endpoints,
      config: this.config,
      newestVersions: this.newestVersions,
      clock: this.clock,
      metrics: this.metrics,
      incarnationId: this.cfg.incarnationId,
      termId: `${this.cfg.incarnationId}.${this.nextTerm++}`,
      isCapacityContended: this.cfg.isCapacityContended,
      view: this.view,
      dataCentre: this.cfg.dataCentre,
      crashes: this.crashes,
      logger: this.deps.logger,
    });
    this.runner = runner;
    void runner.start();
  }

  private startUsageTask(): void {
    const {cfg, deps, lease} = this;
    if (!cfg.usage || !deps.control) return;
    this.usageTask = new UsageTask({
      store: this.store,
      api: deps.control,
      lease: {
        get fencingToken() {
          return lease.lease.fencingToken;
        },
        announce: subject => lease.announceOrder(subject),
      },
      vmName: cfg.vmName,
      terms: cfg.usage,
      metrics: this.metrics,
      logger: deps.logger,
      now: () => Date.now(),
    });
    this.usageTask.start();
  }

  /** Stops the tasks that only the coordinator runs. */
  private stopCoordinating(): void {
    this.runner?.stop();
    this.runner = undefined;
    this.usageTask?.stop();
    this.usageTask = undefined;
  }

  private answerReady(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): void {
    const isReadyPath = req.url === this.cfg.readyPath;
    const status = isReadyPath ? (this.isReady ? 200 : 503) : 404;
    sendWhole(res, status, {}, '');
  }
}
