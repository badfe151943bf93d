/**
 * Decides whether a coordinator knows the configuration well enough to decide on
 * a batch. VMs read the configuration and the batches from separate topics, so a
 * coordinator may learn of a batch before it learns of the version that accepted
 * it. By an older version, the batch's route may be missing or lead elsewhere.
 */

import type {BatchHeader} from './batch_record.js';

/** How much of the configuration's history a VM has read. */
export interface ConfigKnowledge {
  /** Newest version that was read; 0 if there is none. */
  readonly version: number;
  /** Steady ms. All versions that the log had at this time were read. */
  readonly completeAtMs: number;
}

/** Whether `version` is known to be older than the one that accepted the batch. */
export function isBeforeAcceptance(
  version: number,
  {acceptedUnder}: BatchHeader,
): boolean {
  return acceptedUnder !== undefined && version < acceptedUnder.configVersion;
}

/**
 * Whether `known` includes the version under which a batch was accepted. The
 * coordinator learnt of the batch at `learntMs`, in steady ms. The VM that
 * accepted it had read the version before that, so a complete read since then
 * includes the version as well.
 */
export function includesAcceptance(
  known: ConfigKnowledge,
  header: BatchHeader,
  learntMs: number,
): boolean {
  if (known.version === 0) return false;
  if (isBeforeAcceptance(known.version, header)) return false;
  return header.acceptedUnder !== undefined || known.completeAtMs >= learntMs;
}

/**
 * Returns the Unix ms until which the route that accepted a batch promised to keep
 * its items; Infinity if the record of the batch does not tell.
 */
export function findPromisedUntilMs({
  submittedAtMs,
  acceptedUnder,
}: BatchHeader): number {
  return submittedAtMs + (acceptedUnder?.retentionMs ?? Infinity);
}
