/**
 * Batch work: items and their reward calls. Each is owed a result, and none crashes
 * endpoints by itself: endpoints that crashed under one did so for another reason. It
 * only pauses, so that a burst of crashes does not take one endpoint after another
 * together with the same work.
 */

/**
 * Pauses after a crash, ms, growing with each further one. The longest leaves
 * time within the 5 s for which an item may wait while nothing is disturbed.
 */
const PAUSES_MS: readonly number[] = [2000, 3000];

/**
 * Distinguishes the fingerprints of batch work from those of calls and streams, so that
 * equal content in both shares no crashes.
 */
const FINGERPRINT_PREFIX = 'batch-';

/** Returns the fingerprint of batch work with the content that `fingerprint` identifies. */
export function toBatchFingerprint(fingerprint: string): string {
  return `${FINGERPRINT_PREFIX}${fingerprint}`;
}

export function isBatchFingerprint(fingerprint: string): boolean {
  return fingerprint.startsWith(FINGERPRINT_PREFIX);
}

/**
 * Returns the pause of batch work, ms.
 *
 * @param further Number of crashes after the one that caused the first pause.
 */
export function findBatchPauseMs(further: number): number {
  return PAUSES_MS[Math.min(further, PAUSES_MS.length - 1)];
}
