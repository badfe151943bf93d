/** What the platform's log says of configuration and endpoints, decoded. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {Configuration} from '@radishyoke/core/routing/route_table';
import type {Result} from '@radishyoke/shared/result';

/** One record of the operators' topic. */
export type ConfigRecord =
  | {readonly kind: 'configuration'; readonly cfg: Configuration}
  /** A trainer named a new version of a model's weights. */
  | {
      readonly kind: 'model_version';
      readonly model: string;
      readonly version: number;
    }
  /** Nothing that concerns this service. */
  | {readonly kind: 'other'};

export abstract class PlatformDirectory {
  abstract readonly configTopic: string;
  abstract readonly endpointTopic: string;
  /** Of requests that crash endpoints; this service writes it. */
  abstract readonly crashTopic: string;

  abstract decodeConfigRecord(
    key: string,
    value: Uint8Array,
  ): Result<ConfigRecord>;

  /** Fails where the entry names no endpoint that can be used. */
  abstract decodeEndpoint(
    key: string,
    value: Uint8Array,
  ): Result<EndpointEntry>;
}
