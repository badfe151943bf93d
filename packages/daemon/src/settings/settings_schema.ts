/** The sections and keys of the process settings, with types and defaults. */

import {
  addressType,
  choiceType,
  durationType,
  integerType,
  listType,
  nameType,
  optional,
  patternType,
  required,
  sizeType,
  withDefault,
} from '@radishyoke/core/rules/key_spec';

export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** What a token allows; no role includes another. */
export const ROLES = ['read', 'publish', 'audit'] as const;

const MAX_SEEDS = 64;

/** The sections that appear at most once, with their keys. */
export const SETTINGS_SPEC = {
  vm: {
    id: required(
      nameType(),
      'Name of this VM, unique among the live VMs of the deployment.',
    ),
    data_centre: required(nameType(), 'Data centre that this VM is in.'),
    caller_address: required(
      addressType(),
      'Listener for trainers and apps. Port 0 takes a free one.',
    ),
    peer_address: required(
      addressType(),
      'Listener for the other VMs; it must be the address the VM list gives.',
    ),
    admin_address: required(
      addressType(),
      'Listener for the administration API and the metrics.',
    ),
  },
  platform: {
    log: required(addressType(), "The platform's append-only log."),
    vm_list: required(addressType(), "The platform's VM list."),
    weight_store: required(addressType(), "The platform's weight store."),
    log_appends: withDefault(
      integerType(1, 100_000),
      '300',
      'Appends a second that all VMs together may make; the same on every VM.',
    ),
    log_retention: withDefault(
      durationType('1m', '8760h'),
      '24h',
      'Time for which the log keeps a record at the least.',
    ),
    weight_fetches: withDefault(
      integerType(1, 100_000),
      '4',
      'Fetches of weights a second that the store allows; each order to an engine causes one.',
    ),
  },
  peers: {
    seeds: optional(
      listType(addressType(), MAX_SEEDS),
      'Peer addresses to try before the VM list has answered.',
    ),
    shared_key: required(
      patternType(
        /^[\x21-\x7e]{16,200}$/,
        '16 to 200 printable characters without blanks',
        '16 to 200 characters',
      ),
      'Key that admits a peer; the same on every VM.',
    ),
  },
  limits: {
    max_header: withDefault(
      sizeType('1KiB', '1MiB'),
      '16KiB',
      "Most bytes of a request's headers.",
    ),
    max_body: withDefault(
      sizeType('1KiB', '1024MiB'),
      '16MiB',
      'Most bytes of a request body; plain calls stream through it.',
    ),
    max_prompt: withDefault(
      sizeType('1KiB', '16MiB'),
      '256KiB',
      'Most bytes of one prompt.',
    ),
    max_groups: withDefault(
      integerType(1, 100_000),
      '1024',
      'Most groups in a step.',
    ),
    max_samples_per_group: withDefault(
      integerType(1, 10_000),
      '256',
      'Most samples in a group.',
    ),
    max_samples: withDefault(
      integerType(1, 1_000_000),
      '8192',
      'Most samples in a step.',
    ),
    max_open_steps: withDefault(
      integerType(1, 10_000),
      '64',
      'Most open steps of one tenant.',
    ),
    max_connections: withDefault(
      integerType(1, 1_000_000),
      '4096',
      'Most open caller connections of this VM.',
    ),
    max_peer_message: withDefault(
      sizeType('1KiB', '64MiB'),
      '4MiB',
      'Most bytes of one message from a peer.',
    ),
    slow_reader_timeout: withDefault(
      durationType('100ms', '10m'),
      '30s',
      'A caller that takes no byte of its answer for so long is cut off.',
    ),
    slow_writer_timeout: withDefault(
      durationType('100ms', '10m'),
      '15s',
      'A caller that sends no byte of its request for so long is cut off.',
    ),
    max_body_time: withDefault(
      durationType('1s', '1h'),
      '60s',
      'A request body that is read whole must have come within so long.',
    ),
    max_held: withDefault(
      sizeType('1MiB', '65536MiB'),
      '128MiB',
      'Most memory for the bodies and unread answers of all callers.',
    ),
    max_requests_ahead: withDefault(
      integerType(1, 10_000),
      '16',
      'Most requests of one connection that wait for their answers.',
    ),
  },
  leases: {
    session_ttl: withDefault(
      durationType('1s', '5m'),
      '6s',
      'Time without renewal after which the leases of this VM lapse.',
    ),
    session_renewal: withDefault(
      durationType('100ms', '1m'),
      '2s',
      'Time between renewals; at most half of session_ttl.',
    ),
  },
  config: {
    not_ready_after: withDefault(
      durationType('1s', '24h'),
      '5m',
      'A VM that could not confirm for so long that its configuration is current stops being ready.',
    ),
  },
  admin: {
    platform_team: optional(
      nameType(),
      'Team that may drain VMs and endpoints, which all teams share. Without it nobody may.',
    ),
  },
  shutdown: {
    notice: withDefault(
      durationType('1ms', '5m'),
      '2s',
      'Time after SIGTERM in which requests are still taken while /readyz says no; longer than the balancer takes to see it.',
    ),
    max_drain: withDefault(
      durationType('1s', '24h'),
      '1h',
      'Longest wait for work in flight after SIGTERM; what is then left is logged.',
    ),
  },
  logging: {
    level: withDefault(
      choiceType(LOG_LEVELS),
      'info',
      'Least severe lines that are written.',
    ),
  },
} as const;

/** The value of a key in section `[tenants]`; the keys are tenant names. */
export const TENANT_SPEC = required(
  nameType(),
  "Team that owns the tenant and whose rules decide the tenant's requests.",
);

/** The keys of a section `[token.NAME]`, a credential for the admin API. */
export const TOKEN_SPEC = {
  team: required(nameType(), 'Team that the token acts for.'),
  roles: required(
    listType(choiceType(ROLES), ROLES.length),
    'What the token allows.',
  ),
  hash: required(
    patternType(
      /^scrypt\$1[2-6]\$[A-Za-z0-9_-]{22}\$[A-Za-z0-9_-]{43}$/,
      'a hash as printed by "radishyoke token hash"',
      'scrypt hash',
    ),
    'Salted hash of the token.',
  ),
  expires: required(
    patternType(
      /^\d{4}-(0[1-9]|1[0-2])-(0[1-9]|[12]\d|3[01])T([01]\d|2[0-3]):[0-5]\d:[0-5]\dZ$/,
      'a UTC time as 2027-01-31T00:00:00Z',
      'UTC time',
    ),
    'Time from which the token is refused.',
  ),
};
