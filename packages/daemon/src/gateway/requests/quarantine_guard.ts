/** Keeps one request of a caller from endpoints while requests like it crash them. */

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

  /** Whether requests like this one were beside a crash before. */
  get isSuspected(): boolean {
    return this.deps.crashes.isSuspected(this.getFingerprint);
  }

  /** Whether the request may go to the endpoint: a suspect only to one that is there. */
  maySendTo(entry: EndpointEntry): Promise<boolean> {
    return this.deps.crashes.maySendTo(entry, this.getFingerprint);
  }

  recordStart(entry: EndpointEntry): WatchedRequest {
    return this.deps.crashes.recordStart(entry, this.getFingerprint);
  }

  /** A suspect's broken connection is judged before it goes to another endpoint. */
  async waitForCrashCheck({id}: EndpointEntry): Promise<void> {
    if (this.isSuspected) await this.deps.crashes.waitForCheck(id);
  }

  /** The error for a request that is held back. */
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
