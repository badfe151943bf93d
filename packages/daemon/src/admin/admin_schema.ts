/** Schemas of the answers and request bodies of the administration API. */

import {z} from 'zod';

const count = z.number().int().min(0);
const unixMs = z.number();
const version = z.number().int().min(-1);

export const vmEntrySchema = z
  .strictObject({
    id: z.string(),
    dataCentre: z.string(),
    state: z.enum(['live', 'leaving', 'suspect']),
    peerAddress: z.string(),
    /** Next offset the VM reads of the stream `config`; null if unknown. */
    configNext: count.nullable(),
  })
  .readonly();

export const endpointEntrySchema = z
  .strictObject({
    id: z.string(),
    kind: z.enum(['engine', 'service']),
    group: z.string(),
    dataCentre: z.string(),
    model: z.string().nullable(),
    state: z.enum(['live', 'leaving']),
    usable: z.boolean(),
    inFlight: count,
    /**
     * Maximum number of concurrent requests from this VM; null for no limit.
     */
    limit: count.nullable(),
    weightVersion: count,
  })
  .readonly();

export const stepEntrySchema = z
  .strictObject({
    tenant: z.string(),
    step: z.string(),
    model: z.string(),
    state: z.enum(['open', 'complete', 'cancelled', 'timed_out']),
    /** VM that holds the lease; null for none. */
    owner: z.string().nullable(),
    fencing: count.nullable(),
    samples: count,
    committed: count,
    acknowledged: count,
    weightVersion: count,
    rule: z.string(),
    configVersion: version,
    openedAtMs: unixMs,
  })
  .readonly();

export const queueEntrySchema = z
  .strictObject({
    tenant: z.string(),
    workClass: z.enum(['interactive', 'rollout']),
    waiting: count,
    running: count,
  })
  .readonly();

export const leaseEntrySchema = z
  .strictObject({
    name: z.string(),
    /** Tenant of the leased step; null for leases that no tenant owns. */
    tenant: z.string().nullable(),
    vm: z.string(),
    fencing: count,
    held: z.boolean(),
  })
  .readonly();

export const statusSchema = z
  .strictObject({
    vm: z.string(),
    incarnation: z.string(),
    dataCentre: z.string(),
    ready: z.boolean(),
    draining: z.boolean(),
    startedAtMs: unixMs,
    /** Number of work items queued or running on this VM. */
    works: count,
    log: z
      .strictObject({
        lastReadAtMs: unixMs,
        outageSinceMs: unixMs.nullable(),
        caughtUp: z.boolean(),
        stateNext: count,
        configNext: count,
        pending: count,
      })
      .readonly(),
  })
  .readonly();

const versionSummary = {
  version,
  basedOn: version,
  author: z.string(),
  publishedAtMs: unixMs,
};

export const changedDecisionSchema = z
  .strictObject({
    tenant: z.string(),
    method: z.string(),
    path: z.string(),
    before: z.string(),
    after: z.string(),
    requests: count,
  })
  .readonly();

export const auditEntrySchema = z
  .strictObject({
    offset: count,
    timeMs: unixMs,
    /** The record as stored in the log. */
    record: z.json(),
  })
  .readonly();

/** Answers by name; `GET /admin/v1/schemas/NAME` returns one as JSON schema. */
export const ADMIN_ANSWERS = {
  status: statusSchema,
  vms: z.strictObject({vms: z.array(vmEntrySchema).readonly()}).readonly(),
  endpoints: z
    .strictObject({endpoints: z.array(endpointEntrySchema).readonly()})
    .readonly(),
  steps: z
    .strictObject({steps: z.array(stepEntrySchema).readonly()})
    .readonly(),
  queues: z
    .strictObject({queues: z.array(queueEntrySchema).readonly()})
    .readonly(),
  leases: z
    .strictObject({leases: z.array(leaseEntrySchema).readonly()})
    .readonly(),
  rules: z.strictObject({...versionSummary, text: z.string()}).readonly(),
  history: z
    .strictObject({
      versions: z.array(z.strictObject(versionSummary).readonly()).readonly(),
    })
    .readonly(),
  diff: z
    .strictObject({from: version, to: version, patch: z.string()})
    .readonly(),
  published: z.strictObject({version}).readonly(),
  dry_run: z
    .strictObject({
      requests: count,
      unchanged: count,
      changed: z.array(changedDecisionSchema).readonly(),
    })
    .readonly(),
  drained: z
    .strictObject({kind: z.enum(['vm', 'endpoint']), id: z.string()})
    .readonly(),
  audit: z
    .strictObject({
      records: z.array(auditEntrySchema).readonly(),
      /** Offset of the next page; equal to `from` at the end. */
      next: count,
    })
    .readonly(),
  histograms: z
    .strictObject({
      series: z
        .array(
          z
            .strictObject({
              name: z.string(),
              tenant: z.string(),
              workClass: z.string(),
              /** Compressed HdrHistogram, base64. */
              encoded: z.string(),
            })
            .readonly(),
        )
        .readonly(),
      counters: z
        .array(
          z
            .strictObject({
              name: z.string(),
              tenant: z.string(),
              workClass: z.string(),
              label: z.string(),
              value: z.number(),
            })
            .readonly(),
        )
        .readonly(),
    })
    .readonly(),
} as const;

export type AdminAnswerName = keyof typeof ADMIN_ANSWERS;
export type AdminAnswer<Name extends AdminAnswerName> = z.output<
  (typeof ADMIN_ANSWERS)[Name]
>;

export type VmEntry = z.output<typeof vmEntrySchema>;
export type EndpointEntry = z.output<typeof endpointEntrySchema>;
export type StepEntry = z.output<typeof stepEntrySchema>;
export type QueueEntry = z.output<typeof queueEntrySchema>;
export type LeaseEntry = z.output<typeof leaseEntrySchema>;
export type AuditEntry = z.output<typeof auditEntrySchema>;

/** Body of `POST /admin/v1/rules`. */
export const publishBodySchema = z.strictObject({
  /** Version that the text is based on; -1 for none. */
  basedOn: version,
  text: z.string(),
});

/** Body of `POST /admin/v1/rules/dry-run`. */
export const dryRunBodySchema = z.strictObject({text: z.string()});

/** Body of `POST /admin/v1/drain`. */
export const drainBodySchema = z.strictObject({
  kind: z.enum(['vm', 'endpoint']),
  id: z.string().min(1).max(100),
});
