/**
 * Applies admission control to the requests of callers: owns the `AdmissionControl` and
 * the timer of each service, and logs refusals.
 */

import type {AccountDirectory} from '@radishyoke/core/accounts/account_directory';
import type {Caller} from '@radishyoke/core/accounts/client_account';
import {
  AdmissionControl,
  type Arrival,
} from '@radishyoke/core/admission/admission_control';
import type {
  AdmissionRequest,
  ExchangeEnd,
  Refusal,
  RefusalReason,
  Verdict,
} from '@radishyoke/core/admission/admission_request';
import type {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import type {RouteTable} from '@radishyoke/core/routing/route_table';
import {
  createError,
  type ErrorKind,
  type RadishyokeError,
} from '@radishyoke/shared/error_kind';
import {type TenantId, toTenantId} from '@radishyoke/shared/ids';
import type {EventLogger} from '../../logger.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {ForwardRequest} from './forward_request.js';

/** Dependencies of `AdmissionGate`. */
export interface GateDeps {
  readonly roster: EndpointRoster;
  /** Returns the accounts of the configuration in force; undefined before one was read. */
  readonly getAccounts: () => AccountDirectory | undefined;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
}

/** What the owner of a request does once it is decided whether it may be sent. */
export interface GateCallbacks {
  readonly send: () => void;
  readonly refuse: (error: RadishyokeError) => void;
}

/** What a request states when it asks for admission. */
export interface TicketTerms {
  readonly service: string;
  readonly objectiveAtMs: number;
  /** Whether a full endpoint refused the request before. */
  readonly wasRefused: boolean;
}

const ERROR_BY_REASON: Readonly<Record<RefusalReason, ErrorKind>> = {
  queue_full: 'overloaded',
  too_late: 'overloaded',
  past_deadline: 'deadline_unreachable',
};

/** A request for the admission of one attempt. */
export class GateTicket implements AdmissionRequest {
  readonly account: TenantId;
  readonly route: string;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  readonly isReturning: boolean;
  priority: number;

  constructor(
    readonly req: ForwardRequest,
    readonly terms: TicketTerms,
    readonly callbacks: GateCallbacks,
    priority: number,
    isReturning: boolean,
  ) {
    this.account = identifyAccount(req);
    this.route = req.route.name;
    this.objectiveAtMs = terms.objectiveAtMs;
    this.deadlineAtMs = req.deadlineAtMs;
    this.priority = priority;
    this.isReturning = isReturning;
  }
}

interface ServiceState {
  readonly control: AdmissionControl<GateTicket>;
  timer: NodeJS.Timeout | undefined;
}

/** Admission of all requests that this VM forwards. */
export class AdmissionGate {
  private readonly services = new Map<string, ServiceState>();

  constructor(private readonly deps: GateDeps) {
    const {metrics} = deps;
    metrics.registerGauge('admission_waiting', () =>
      this.sum(({waiting}) => waiting),
    );
    metrics.registerGauge('admission_in_flight', () =>
      this.sum(({inFlight}) => inFlight),
    );
    metrics.registerGauge('admission_limit_per_s', () =>
      Math.round(this.sum(({limitPerS}) => limitPerS ?? 0)),
    );
  }

  /** Asks for admission; calls back at once or later. Returns the ticket with which its owner can `leave`. */
  enter(
    req: ForwardRequest,
    terms: TicketTerms,
    callbacks: GateCallbacks,
  ): GateTicket {
    const {service} = terms;
    const state = this.openService(service);
    const nowMs = performance.now();
    const isReturning =
      terms.wasRefused || state.control.takeReturn(identifyAccount(req), nowMs);
    const accounts = this.deps.getAccounts();
    const priority =
      getAccountPriority(req.caller, accounts) ?? req.route.priority;
    const ticket = new GateTicket(req, terms, callbacks, priority, isReturning);
    const arrival = state.control.arrive(ticket, nowMs, Math.random());
    this.settleArrival(ticket, arrival);
    this.schedule(service, state);
    return ticket;
  }

  /** Gives up a place in the queue and calls `refuse`; does nothing if the ticket no longer waits. */
  leave(ticket: GateTicket): void {
    const {service} = ticket.terms;
    const state = this.openService(service);
    if (!state.control.leave(ticket)) return;
    this.deps.metrics.count('admission_left');
    ticket.callbacks.refuse(createError('cancelled'));
    this.release(service, state);
  }

  /** Whether there is room for a second copy of a request that an endpoint runs. */
  hasIdleCapacity(service: string): boolean {
    return this.openService(service).control.hasIdleCapacity(performance.now());
  }

  /** Takes room for a second copy of a request that an endpoint runs; returns whether there was any. */
  takeIdleCapacity(service: string): boolean {
    return this.openService(service).control.takeIdleCapacity(
      performance.now(),
    );
  }

  /** Records that a request that was sent has ended, and lets others go. */
  recordEnd(service: string, req: ForwardRequest, end: ExchangeEnd): void {
    const state = this.openService(service);
    const {name: route, objectiveMs} = req.route;
    state.control.recordEnd({route, objectiveMs, end}, performance.now());
    this.release(service, state);
  }

  /** Applies a new configuration to the requests that wait. */
  applyConfig({cfg, accounts}: RouteTable): void {
    const priorities = new Map(cfg.routes.map(r => [r.name, r.priority]));
    for (const [service, state] of this.services) {
      for (const ticket of state.control.listWaiting()) {
        const {caller, route} = ticket.req;
        ticket.priority =
          getAccountPriority(caller, accounts) ??
          priorities.get(route.name) ??
          route.priority;
      }
      state.control.reorder();
      this.release(service, state);
    }
  }

  stop(): void {
    for (const {timer} of this.services.values()) clearTimeout(timer);
  }

  private release(service: string, state: ServiceState): void {
    state.control.setSlots(this.countSlots(service));
    const released = state.control.release(performance.now(), Math.random);
    for (const {request, verdict} of released) this.settle(request, verdict);
    this.schedule(service, state);
  }

  /** Sets the timer for the next request that may be sent or will be late. */
  private schedule(service: string, state: ServiceState): void {
    clearTimeout(state.timer);
    const delayMs = state.control.measureNextReleaseMs(performance.now());
    if (delayMs === undefined) return;
    state.timer = setTimeout(
      () => this.release(service, state),
      Math.ceil(delayMs) + 1,
    );
  }

  private settleArrival(
    ticket: GateTicket,
    {verdict, displaced}: Arrival<GateTicket>,
  ): void {
    if (displaced) this.settle(displaced.request, displaced.verdict);
    this.settle(ticket, verdict);
  }

  private settle(ticket: GateTicket, verdict: Verdict): void {
    switch (verdict.kind) {
      case 'send':
        return ticket.callbacks.send();
      case 'wait':
        return this.deps.metrics.count('admission_waited');
      case 'refuse':
        return this.refuse(ticket, verdict.refusal);
    }
  }

  private refuse(ticket: GateTicket, refusal: Refusal): void {
    const {reason, retryAfterMs} = refusal;
    this.deps.metrics.count(`admission_refused_${reason}`);
    this.logRefusal(ticket, refusal);
    // After refusals of endpoints the caller is told that no endpoint had capacity.
    const kind = ticket.terms.wasRefused
      ? 'no_endpoint'
      : ERROR_BY_REASON[reason];
    ticket.callbacks.refuse(createError(kind, undefined, {retryAfterMs}));
  }

  private logRefusal(ticket: GateTicket, refusal: Refusal): void {
    const {req, terms, priority} = ticket;
    const {reason, retryAfterMs, facts} = refusal;
    const {limitPerS, inFlight, waiting, expectedWaitMs} = facts;
    this.deps.logger.log('info', 'request refused for lack of room', {
      requestId: req.attemptId,
      rule: req.route.name,
      configVersion: req.configVersion,
      service: terms.service,
      account: req.caller.kind === 'account' ? req.caller.name : undefined,
      priority,
      reason,
      limitPerS:
        limitPerS === undefined ? undefined : Math.round(limitPerS * 10) / 10,
      inFlight,
      waiting,
      expectedWaitMs: Math.round(expectedWaitMs),
      retryAfterMs,
    });
  }

  private openService(service: string): ServiceState {
    let state = this.services.get(service);
    if (!state) {
      state = {control: new AdmissionControl<GateTicket>(), timer: undefined};
      this.services.set(service, state);
    }
    state.control.setSlots(this.countSlots(service));
    return state;
  }

  private countSlots(service: string): number {
    const usable = this.deps.roster.listUsable(service, performance.now());
    return usable.reduce((sum, {slots}) => sum + slots, 0);
  }

  private sum(
    measure: (control: AdmissionControl<GateTicket>) => number,
  ): number {
    let total = 0;
    for (const {control} of this.services.values()) total += measure(control);
    return total;
  }
}

/** Callers without an account count as one account. */
function identifyAccount({caller}: ForwardRequest): TenantId {
  return toTenantId(caller.kind === 'account' ? caller.name : '');
}

/** Returns the priority that the caller's account has, if it has one. */
function getAccountPriority(
  caller: Caller,
  accounts: AccountDirectory | undefined,
): number | undefined {
  if (caller.kind !== 'account') return undefined;
  return accounts?.getPriority(caller.name);
}
