/** A caller's request to be forwarded to endpoints, and the collaborators that forwarding needs. */

import type {IncomingHttpHeaders} from 'node:http';
import type {Caller} from '@radishyoke/core/accounts/client_account';
import type {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import type {Route} from '@radishyoke/core/routing/route_table';
import type {EventLogger} from '../../logger.js';
import type {CrashWatch} from '../crashes/crash_watch.js';
import type {UsageMeter} from '../usage/usage_meter.js';
import type {EndpointLinks} from '../endpoints/endpoint_links.js';
import type {EndpointProtocol} from '../endpoints/endpoint_protocol.js';
import type {EndpointView} from '../endpoints/endpoint_view.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {AdmissionGate} from './admission_gate.js';

export interface ForwardRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly attemptId: string | undefined;
  readonly caller: Caller;
  readonly route: Route;
  readonly configVersion: number;
  /** Steady ms by which the caller must have its answer. */
  readonly deadlineAtMs: number;
}

export interface ForwarderDeps {
  readonly roster: EndpointRoster;
  readonly links: EndpointLinks;
  readonly view: EndpointView;
  readonly protocol: EndpointProtocol;
  readonly dataCentre: string;
  readonly crashes: CrashWatch;
  /** Set if callers may ask for more than the endpoints can serve. */
  readonly admission?: AdmissionGate;
  /** Set if usage is reported. */
  readonly meter?: UsageMeter;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
}
