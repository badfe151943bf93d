/** Keeps one request of a caller from endpoints while requests like it crash them. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {createError, type RadishyokeError} from '@radishyoke/shared/error_kind';
import type {WatchedRequest} from '../crashes/watched_request.js';
import type {ForwarderParts, ForwardRequest} from './forward_request.js';
import {fingerprintForward} from './request_fingerprints.js';

export class RequestGuard {
  private known: string | undefined;
  private readonly name = () => this.fingerprint;

  constructor(
    private readonly parts: ForwarderParts,
    private readonly req: ForwardRequest,
  ) {}

  get fingerprint(): string {
    this.known ??= fingerprintForward(this.req);
    return this.known;
  }

  get isHeld(): boolean {
    return this.parts.crashes.isHeld(this.name);
  }

  /** Whether requests like this one were beside a crash before. */
  get isSuspect(): boolean {
    return this.parts.crashes.isSuspect(this.name);
  }

  /** Whether the request may go to the endpoint: a suspect only to one that is there. */
  isFit(entry: EndpointEntry): Promise<boolean> {
    return this.parts.crashes.isFit(entry, this.name);
  }

  begin(entry: EndpointEntry): WatchedRequest {
    return this.parts.crashes.begin(entry, this.name);
  }

  /** A suspect's broken connection is judged before it goes to another endpoint. */
  async settle({id}: EndpointEntry): Promise<void> {
    if (this.isSuspect) await this.parts.crashes.settle(id);
  }

  /** The error for a request that is held back. */
  refuse(): RadishyokeError {
    const {crashes, logger, metrics} = this.parts;
    const {attemptId: requestId, route, configVersion} = this.req;
    const {fingerprint} = this;
    const retryAfterMs = crashes.measureHoldMs(fingerprint);
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
