/**
 * Acquires admission for each attempt of one request, and reports how the attempts ended.
 * Without an admission gate, or if the route has no objective, every attempt may be sent
 * at once.
 */

import type {
  ExchangeEnd,
  ReportedLoad,
} from '@radishyoke/core/admission/admission_request';
import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {ExchangeOutcome} from '../endpoints/endpoint_exchange.js';
import type {
  AdmissionGate,
  GateCallbacks,
  GateTicket,
} from './admission_gate.js';
import type {ForwardRequest} from './forward_request.js';

/** Times of one attempt, in ms from its start. */
export interface AttemptTimes {
  /** Until the answer, or the first event of a stream; undefined if there was none. */
  readonly answeredInMs: number | undefined;
  readonly tookMs: number;
}

/** How an attempt ended, of a request or of a stream. */
export type AttemptOutcome =
  | ExchangeOutcome
  /** A stream was received completely. */
  | {readonly kind: 'whole'};

/** Admission of the attempts of one request. */
export class AdmissionPass {
  private readonly gate: AdmissionGate | undefined;
  private readonly objectiveAtMs: number;
  private ticket: GateTicket | undefined;
  private wasRefused = false;
  private waits = false;

  constructor(
    gate: AdmissionGate | undefined,
    private readonly req: ForwardRequest,
    private readonly service: string | undefined,
  ) {
    const {objectiveMs} = req.route;
    this.gate = objectiveMs > 0 && service !== undefined ? gate : undefined;
    this.objectiveAtMs = performance.now() + objectiveMs;
  }

  /** Whether the request is subject to admission control. */
  get isChecked(): boolean {
    return this.gate !== undefined;
  }

  /** Whether an attempt was asked for and is neither sent nor refused yet. */
  get isWaiting(): boolean {
    return this.waits;
  }

  /** Whether a request whose attempt ended so waits for room again. Admission refuses it once it would be late. */
  mayWaitAgain(outcome: AttemptOutcome): boolean {
    return this.isChecked && isRefusal(outcome);
  }

  /** Asks for the admission of one attempt. */
  acquire(callbacks: GateCallbacks): void {
    const {gate, service, objectiveAtMs, wasRefused} = this;
    if (!gate || service === undefined) return callbacks.send();
    const terms = {service, objectiveAtMs, wasRefused};
    this.waits = true;
    this.ticket = gate.enter(this.req, terms, {
      send: () => {
        this.waits = false;
        callbacks.send();
      },
      refuse: error => {
        this.waits = false;
        callbacks.refuse(error);
      },
    });
  }

  /** Like `acquire`; resolves with the error of a refusal, or undefined once the attempt may be sent. */
  waitForCapacity(): Promise<RadishyokeError | undefined> {
    return new Promise(resolve =>
      this.acquire({send: () => resolve(undefined), refuse: resolve}),
    );
  }

  /** Whether there is room for a second copy beside a running attempt. */
  get hasIdleCapacity(): boolean {
    const {gate, service} = this;
    return !gate || service === undefined || gate.hasIdleCapacity(service);
  }

  /** Takes the room of a second copy beside a running attempt; returns whether there is any. */
  takeIdleCapacity(): boolean {
    const {gate, service} = this;
    return !gate || service === undefined || gate.takeIdleCapacity(service);
  }

  /** Stops waiting, because the caller left or its deadline passed. */
  leave(): void {
    if (this.ticket) this.gate?.leave(this.ticket);
  }

  /** Releases the admission of an attempt that was not sent. */
  releaseUnused(): void {
    this.recordEnd({kind: 'other'});
  }

  /** Records how an admitted attempt ended. */
  recordAttempt(outcome: AttemptOutcome, times: AttemptTimes): void {
    if (isRefusal(outcome)) this.wasRefused = true;
    this.recordEnd(toExchangeEnd(outcome, times));
  }

  private recordEnd(end: ExchangeEnd): void {
    const {gate, service, req} = this;
    if (service !== undefined) gate?.recordEnd(service, req, end);
  }
}

/** Whether the endpoint had no room. */
function isRefusal(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'not_executed' && !outcome.isMisdirected;
}

function toExchangeEnd(
  outcome: AttemptOutcome,
  {answeredInMs, tookMs}: AttemptTimes,
): ExchangeEnd {
  if (isRefusal(outcome)) return {kind: 'full'};
  const isSuccess =
    outcome.kind === 'whole' ||
    (outcome.kind === 'answered' && outcome.answer.status < 500);
  if (!isSuccess || answeredInMs === undefined) return {kind: 'other'};
  return {kind: 'answered', answeredInMs, tookMs, load: readLoad(outcome)};
}

function readLoad(outcome: AttemptOutcome): ReportedLoad | undefined {
  if (outcome.kind !== 'answered') return undefined;
  return outcome.answer.metadata.load;
}
