/** One entry VM: creates its tasks from the settings and connects them. */

import {setTimeout as sleep} from 'node:timers/promises';
import {randomUUID} from 'node:crypto';
import {PolicyScheduler} from '@radishyoke/core/scheduling/policy_scheduler';
import {createRandomBits} from '@radishyoke/core/scheduling/random_bits';
import {checkRuleText} from '@radishyoke/core/rules/rule_text';
import type {Scheduler} from '@radishyoke/core/scheduling/scheduler';
import type {StepLedger} from '@radishyoke/core/steps/step_ledger';
import {HttpLogClient} from '@radishyoke/stores/http_log_client';
import {HttpVmListClient} from '@radishyoke/stores/http_vm_list_client';
import {HttpWeightStoreClient} from '@radishyoke/stores/http_weight_store_client';
import {createError, RadishyokeError} from '@radishyoke/shared/error_kind';
import {toIncarnationId} from '@radishyoke/shared/ids';
import {succeed} from '@radishyoke/shared/result';
import {MemoryBudget} from '@radishyoke/wire/memory_budget';
import {RenewingAgent} from '@radishyoke/wire/renewing_agent';
import {AdminServer} from './admin/admin_server.js';
import {AppApi} from './apps/app_api.js';
import {CallerServer} from './callers/caller_server.js';
import {Dispatcher} from './scheduling/dispatcher.js';
import {EndpointTask} from './scheduling/endpoint_task.js';
import {AuditRecorder} from './audit/audit_recorder.js';
import {AuditTask, DEFAULT_MAX_WAITING} from './audit/audit_task.js';
import {LogTask} from './log/log_task.js';
import type {Logger} from './logger.js';
import {OrderTask} from './scheduling/order_task.js';
import {PeerTask} from './peers/peer_task.js';
import {PeerWiring} from './peers/peer_wiring.js';
import {RuleRegistry} from './rule_registry.js';
import type {Settings} from './settings/settings.js';
import {StepApi} from './steps/step_api.js';
import {StepDirectory} from './steps/step_directory.js';
import {VmAdminBackend} from './admin/vm_admin_backend.js';
import {VmMetrics} from './vm_metrics.js';

const claimHorizonMs = 3_600_000;
/** Interval at which waiting trainers are counted for the idle time, ms. */
const idleSampleIntervalMs = 500;
/** Maximum number of connections to one endpoint. */
const connectionsPerEndpoint = 512;
const connectTimeoutMs = 1000;
const drainPollIntervalMs = 50;
/** Maximum wait for each of the final appends of a drain, ms. */
const finalAppendTimeoutMs = 2000;

export interface VmOptions {
  readonly settings: Settings;
  readonly logger: Logger;
  /** Seed of the scheduler's and the membership's random choices. */
  readonly seed: number;
  readonly scheduler?: Scheduler;
  /** Called when an operator requests that this VM be drained. */
  readonly requestDrain?: () => void;
}

/**
 * Number of app requests and open steps that were unfinished when a VM stopped.
 */
export interface DrainReport {
  readonly appsLeft: number;
  readonly stepsHandedOver: number;
}

export class Vm {
  readonly log: LogTask;
  readonly dispatcher: Dispatcher;
  readonly endpoints: EndpointTask;
  readonly directory: StepDirectory;
  readonly rules: RuleRegistry;
  readonly metrics = new VmMetrics();
  private readonly incarnation = toIncarnationId(randomUUID());
  private readonly admin: AdminServer;
  private boundAdminAddress = '';
  private boundPeerAddress = '';
  private readonly http: RenewingAgent;
  private readonly logClient: HttpLogClient;
  private readonly vmListClient: HttpVmListClient;
  private readonly weightStoreClient: HttpWeightStoreClient;
  private readonly orders: OrderTask;
  readonly peers: PeerTask;
  private readonly wiring: PeerWiring;
  private idleTimer: NodeJS.Timeout | undefined;
  private readonly apps: AppApi;
  private readonly audit: AuditTask;
  private readonly auditRecorder: AuditRecorder;
  private readonly server: CallerServer;
  private isDraining = false;
  /**
   * Set when the notice period for the balancer is over and new requests are
   * refused.
   */
  private isRefusing = false;

  constructor(private readonly options: VmOptions) {
    const {settings, logger} = options;
    const {vm, platform, limits} = settings;
    this.http = new RenewingAgent({
      connections: connectionsPerEndpoint,
      connectTimeout: connectTimeoutMs,
      pipelining: 1,
    });
    this.logClient = new HttpLogClient(platform.log);
    this.vmListClient = new HttpVmListClient(platform.vmList);
    this.weightStoreClient = new HttpWeightStoreClient(platform.weightStore);
    this.log = new LogTask(this.logClient, {
      vm: vm.id,
      incarnation: this.incarnation,
      session: {
        ttlMs: settings.leases.sessionTtlMs,
        renewalMs: settings.leases.sessionRenewalMs,
      },
      deploymentAppendsPerSecond: platform.logAppendsPerSecond,
      claimHorizonMs,
      logRetentionMs: platform.logRetentionMs,
      notReadyAfterMs: settings.config.notReadyAfterMs,
      checkConfig: checkRuleText,
    });
    this.rules = new RuleRegistry(
      settings.tenants,
      () => this.log.config,
      (facts, route) => this.metrics.recordRoute(facts, route),
      settings.admin.platformTeam,
    );
    this.audit = new AuditTask(this.logClient, this.log, {
      vm: vm.id,
      incarnation: this.incarnation,
      maxWaiting: DEFAULT_MAX_WAITING,
    });
    this.auditRecorder = new AuditRecorder({
      log: this.log,
      findTeam: tenant => this.rules.findTeam(tenant),
      record: entry => this.audit.record(entry),
    });
    this.dispatcher = new Dispatcher(
      options.scheduler ??
        new PolicyScheduler(
          {vm: vm.id, dataCentre: vm.dataCentre},
          createRandomBits(options.seed),
        ),
    );
    this.endpoints = new EndpointTask({
      vmList: this.vmListClient,
      dispatcher: this.dispatcher,
      http: this.http,
      logger,
      listGroups: () => this.rules.listGroups(),
    });
    this.orders = new OrderTask({
      log: this.log,
      endpoints: this.endpoints,
      weightStore: this.weightStoreClient,
      fetchesPerSecond: platform.weightFetchesPerSecond,
      http: this.http,
      logger,
    });
    this.peers = this.createPeers();
    this.directory = this.createDirectory();
    this.wiring = new PeerWiring({
      vm: vm.id,
      peers: this.peers,
      log: this.log,
      dispatcher: this.dispatcher,
      endpoints: this.endpoints,
      directory: this.directory,
    });
    const memory = new MemoryBudget(limits.maxHeldBytes);
    const bodyLimits = {
      maxBytes: limits.maxBodyBytes,
      maxSilenceMs: limits.slowWriterTimeoutMs,
      maxMs: limits.maxBodyMs,
      budget: memory,
    };
    this.apps = new AppApi({
      dataCentre: vm.dataCentre,
      rules: this.rules,
      dispatcher: this.dispatcher,
      http: this.http,
      log: this.log,
      bodyLimits,
      logger,
      onEnd: record => {
        this.metrics.recordApp(record);
        this.auditRecorder.recordRequest(record);
      },
    });
    this.server = new CallerServer({
      address: vm.callerAddress,
      limits,
      steps: new StepApi({
        vm: vm.id,
        dataCentre: vm.dataCentre,
        limits,
        bodyLimits,
        rules: this.rules,
        directory: this.directory,
        http: this.http,
        findCallerAddress: id => this.wiring.findCallerAddress(id),
      }),
      apps: this.apps,
      logger,
      memory,
      findRefusal: () => this.findRefusal(),
      findReadinessFailure: () => this.findReadinessFailure(),
    });
    this.admin = this.createAdmin();
  }

  /**
   * Address on which the administration API listens; empty before the start.
   */
  get adminAddress(): string {
    return this.boundAdminAddress;
  }

  /** `ip:port` that other VMs connect to; empty before the start. */
  get peerAddress(): string {
    return this.boundPeerAddress;
  }

  /** Starts all tasks; resolves with the address that callers connect to. */
  async start(): Promise<string> {
    this.wiring.start();
    this.idleTimer = setInterval(
      () => this.sampleTrainerIdle(),
      idleSampleIntervalMs,
    );
    void this.dispatcher.firstOutputs.observe(output =>
      this.metrics.recordFirstOutput(output),
    );
    void this.dispatcher.starts.observe(start =>
      this.metrics.recordStart(start),
    );
    this.auditRecorder.start();
    this.audit.start();
    this.log.start();
    const {adminAddress} = this.options.settings.vm;
    this.boundAdminAddress = await this.admin.listen(adminAddress);
    this.boundPeerAddress = await this.peers.start();
    await this.endpoints.start();
    this.orders.start();
    const address = await this.server.listen();
    this.options.logger.log('info', 'VM ready for callers', {address});
    return address;
  }

  /** Counts the app requests in flight. */
  countRequests(): number {
    return this.apps.countInFlight();
  }

  /**
   * Shuts down gracefully: accepts no new work, releases its steps to other VMs
   * and waits at most `maxDrainMs` for requests in flight.
   */
  async drain(maxDrainMs: number): Promise<DrainReport> {
    this.isDraining = true;
    this.peers.publish({kind: 'leave'});
    const deadlineAtMs = Date.now() + maxDrainMs;
    // The balancer continues to send requests for a while after /readyz has
    // changed. Refusing them would fail callers without need.
    await sleep(this.options.settings.shutdown.noticeMs);
    this.isRefusing = true;
    const stepsHandedOver = this.directory.listTasks().size;
    this.directory.releaseAll();
    while (this.apps.countInFlight() > 0 && Date.now() < deadlineAtMs) {
      await sleep(drainPollIntervalMs);
    }
    const appsLeft = this.apps.countInFlight();
    await Promise.race([this.audit.closeChain(), sleep(finalAppendTimeoutMs)]);
    await Promise.race([this.log.closeSession(), sleep(finalAppendTimeoutMs)]);
    await this.stop();
    return {appsLeft, stepsHandedOver};
  }

  /**
   * Stops without releasing leases or closing the session, as a crash would,
   * but closes all sockets.
   */
  async stop(): Promise<void> {
    this.orders.stop();
    clearInterval(this.idleTimer);
    this.wiring.stop();
    this.endpoints.stop();
    this.directory.stop();
    this.dispatcher.close();
    this.audit.stop();
    this.log.stop();
    this.server.destroy();
    await Promise.allSettled([
      this.admin.close(),
      this.peers.stop(),
      this.logClient.close(),
      this.vmListClient.close(),
      this.weightStoreClient.close(),
      this.http.destroy(),
    ]);
  }

  private createPeers(): PeerTask {
    const {settings, seed} = this.options;
    const {vm, peers, limits} = settings;
    return new PeerTask({
      vm: vm.id,
      dataCentre: vm.dataCentre,
      peerAddress: vm.peerAddress,
      callerAddress: vm.callerAddress,
      seeds: peers.seeds,
      sharedKey: peers.sharedKey,
      maxMessageBytes: limits.maxPeerMessageBytes,
      seed,
      exportConfig: from => this.log.exportConfig(from),
    });
  }

  private sampleTrainerIdle(): void {
    const own = this.directory.listTasks();
    const ledgers = this.log.state.listSteps();
    this.metrics.sampleTrainerIdle(
      ledgers.filter(ledger => own.has(ledger.key)),
      idleSampleIntervalMs,
    );
  }

  private createAdmin(): AdminServer {
    const {settings, logger, requestDrain = () => undefined} = this.options;
    const backend = new VmAdminBackend({
      settings,
      incarnation: this.incarnation,
      log: this.log,
      logClient: this.logClient,
      dispatcher: this.dispatcher,
      endpoints: this.endpoints,
      peers: this.peers,
      metrics: this.metrics,
      isReady: () => this.findReadinessFailure() === undefined,
      isDraining: () => this.isDraining,
      requestDrain,
    });
    return new AdminServer(backend, settings, access => {
      const level = access.outcome === 'granted' ? 'info' : 'warn';
      logger.log(level, 'administration request', {...access});
    });
  }

  private createDirectory(): StepDirectory {
    const {settings, logger} = this.options;
    const {vm, limits} = settings;
    return new StepDirectory({
      vm: vm.id,
      log: this.log,
      dispatcher: this.dispatcher,
      http: this.http,
      logger,
      slowReaderTimeoutMs: limits.slowReaderTimeoutMs,
      maxOpenSteps: limits.maxOpenSteps,
      resolveRoute: ledger => this.resolveStepRoute(ledger),
      onRunEnd: (ledger, ref, attempts) =>
        this.auditRecorder.recordAttempts(ledger, ref, attempts),
      onWasted: (ledger, tokens) => this.metrics.recordWasted(ledger, tokens),
      onSettled: (ledger, output) => this.metrics.recordSettled(ledger, output),
      onEnd: (ledger, end) => {
        this.auditRecorder.forgetStep(ledger);
        this.metrics.recordStepEnd(ledger, end, this.log.estimateLogNowMs());
      },
    });
  }

  private resolveStepRoute(ledger: StepLedger) {
    const {tenant, step, req} = ledger.opening;
    const team = this.rules.findTeam(tenant);
    if (!team) {
      const err = createError('no_rule', 'the tenant has no team');
      return {ok: false, error: err} as const;
    }
    const {rule, configVersion} = ledger.opening;
    const opened = this.rules.findByVersion(team, rule, configVersion);
    if (opened) return succeed(opened);
    // The request that opened the step was counted by the VM that received it.
    return this.rules.findRoute(team, {
      tenant,
      workClass: 'rollout',
      model: req.model,
      method: 'PUT',
      path: `/v1/steps/${step}`,
      headers: {},
      dataCentre: this.options.settings.vm.dataCentre,
    });
  }

  /** Returns why the balancer should send no new requests to this VM, if so. */
  private findReadinessFailure(): RadishyokeError | undefined {
    return this.isDraining ? createDrainingError() : this.findRefusal();
  }

  /** Returns why this VM refuses all requests, if it does. */
  private findRefusal(): RadishyokeError | undefined {
    if (this.isRefusing) return createDrainingError();
    const freshness = this.log.assessConfigFreshness(
      this.wiring.describePeers(),
    );
    if (freshness.kind !== 'not_current') return this.findStateRefusal();
    return createError('not_current', `configuration: ${freshness.reason}`);
  }

  /**
   * A starting VM reads the steps and leases before it accepts requests, unless
   * the log is down: app requests need only the configuration, and requests
   * that need the log are refused individually.
   */
  private findStateRefusal(): RadishyokeError | undefined {
    const isLogDown = this.log.health().outageSinceMs !== undefined;
    if (this.log.hasReadState || isLogDown) return undefined;
    return createError(
      'not_current',
      'steps and leases have not been read yet',
    );
  }
}

function createDrainingError(): RadishyokeError {
  return createError('draining', undefined, {retryAfterMs: 0});
}
