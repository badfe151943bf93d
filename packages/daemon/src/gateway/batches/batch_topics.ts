/** Topics of batches in the log; a batch stands in the same partition of each. */

/** What every VM that is asked reads: batches and the places of their results. */
export const INDEX_TOPIC = 'batch_index';
/** Submissions and texts, read only at the places that the index names. */
export const PAYLOAD_TOPIC = 'batch_payloads';
/** Output of items that run, for a coordinator that takes over. */
export const PROGRESS_TOPIC = 'batch_progress';

/** Batches are forgotten this long after their submission, ms: callers may read for 120 s, and clocks of VMs differ. */
export const BATCH_RETENTION_MS = 180_000;
