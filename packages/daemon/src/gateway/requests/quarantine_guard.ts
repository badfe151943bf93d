/** Keeps one caller's request away from endpoints while requests with its fingerprint are quarantined for crashing them. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {createError, type RadishyokeError} from '@radishyoke/shared/error_kind';
import type {WatchedRequest} from '../crashes/watched_request.js';
import type {ForwarderDeps, ForwardRequest} from './forward_request.js';
import {fingerprintForwardRequest} from './request_fingerprints.js';

export class QuarantineGuard {
  private cachedFingerprint: string | undefined;
  private readonly getFingerprint = () => this.fingerprint;

  constructor(
    private readonly deps: ForwarderDeps,
    private readonly req: ForwardRequest,
  ) {}

  get fingerprint(): string {
    this.cachedFingerprint ??= fingerprintForwardRequest(this.req);
    return this.cachedFingerprint;
  }

  get isQuarantined(): boolean {
    return this.deps.crashes.isQuarantined(this.getFingerprint);
  }

  /** Whether a request with this fingerprint was in flight on an endpoint when it crashed. */
  get isSuspected(): boolean {
    return this.deps.crashes.isSuspected(this.getFingerprint);
  }

  /** Whether the request may be sent to the endpoint: a suspected request only goes to an endpoint that is reachable. */
  maySendTo(entry: EndpointEntry): Promise<boolean> {
    return this.deps.crashes.maySendTo(entry, this.getFingerprint);
  }

  recordStart(entry: EndpointEntry): WatchedRequest {
    return this.deps.crashes.recordStart(entry, this.getFingerprint);
  }

  /** Makes a suspected request wait until it is known whether the endpoint crashed, before it is sent to another one. */
  async waitForCrashCheck({id}: EndpointEntry): Promise<void> {
    if (this.isSuspected) await this.deps.crashes.waitForCheck(id);
  }

  /** Logs and counts a refusal of the quarantined request and returns its error. */
  refuse(): RadishyokeError {
    const {crashes, logger, metrics} = this.deps;
    const {attemptId: requestId, route, configVersion} = this.req;
    const {fingerprint} = this;
    const retryAfterMs = crashes.measureQuarantineMs(fingerprint);
    metrics.count('requests_held_back');
    logger.log('info', 'request held back', {
      requestId,
      rule: route.name,
      configVersion,
      fingerprint,
      crashes: crashes.countCrashes(fingerprint),
      retryAfterMs,
    });
    return createError('held_back', undefined, {retryAfterMs});
  }
}
