/** Topics of the log that store batches. A batch uses the same partition in each. */

/** Batches and the locations of their results; read by every VM that answers callers. */
export const INDEX_TOPIC = 'batch_index';
/** Submissions and texts; read only at the locations that the index names. */
export const PAYLOAD_TOPIC = 'batch_payloads';
/** Output of running items, for a coordinator that takes over. */
export const PROGRESS_TOPIC = 'batch_progress';

/** Retention of a batch after its submission, ms. Callers may read it for 120 s; the rest allows for clock differences between VMs. */
export const BATCH_RETENTION_MS = 180_000;
