/**
 * Collects the ids of attempts that an endpoint answered as failed. The log may
 * hold the record of an attempt several times, so that counting records would
 * count one failure more than once.
 */

/** Ids of attempts, each once, in the order in which they became known. */
export type AttemptIds = readonly string[];

export const NO_ATTEMPTS: AttemptIds = [];

/**
 * Stands for all attempts whose records have no id. They count as one: further
 * records may be copies, and an item that is given up too early is lost, while
 * one that is run again is not.
 */
const UNIDENTIFIED = '';

/** Returns `ids` with `id`. */
export function addAttempt(ids: AttemptIds, id = UNIDENTIFIED): AttemptIds {
  return ids.includes(id) ? ids : [...ids, id];
}
