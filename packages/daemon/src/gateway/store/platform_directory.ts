/** Topics of the platform's log with configuration and endpoints, and decoders of their records. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {Configuration} from '@radishyoke/core/routing/route_table';
import type {Result} from '@radishyoke/shared/result';

/** A record of the configuration topic, which operators write. */
export type ConfigRecord =
  | {readonly kind: 'configuration'; readonly cfg: Configuration}
  /** A trainer announced a new version of a model's weights. */
  | {
      readonly kind: 'model_version';
      readonly model: string;
      readonly version: number;
    }
  /** A record that does not concern this service. */
  | {readonly kind: 'other'};

export abstract class PlatformDirectory {
  abstract readonly configTopic: string;
  abstract readonly endpointTopic: string;
  /** Topic of the crash records of requests, which this service itself writes. */
  abstract readonly crashTopic: string;

  abstract decodeConfigRecord(
    key: string,
    value: Uint8Array,
  ): Result<ConfigRecord>;

  /** Fails if the record describes no usable endpoint. */
  abstract decodeEndpoint(
    key: string,
    value: Uint8Array,
  ): Result<EndpointEntry>;
}
