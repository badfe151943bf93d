/**
 * Weighs engines by weight version, so that items prefer the oldest version that
 * they may use and leave engines with newer ones to later steps, which may need
 * these.
 */

/** Factor on the cost of an engine with a newer version than needed. */
const NEWER_VERSION_FACTOR = 1.04;
/** The same for urgent items; it only decides between engines of equal cost. */
const NEWER_VERSION_FACTOR_URGENT = 1.0005;
/** Urgency beyond which an item is urgent. */
const URGENT_THRESHOLD = 0.5;

/**
 * Returns the factor on the cost of an engine with `version` for an item that may
 * use `minVersion` and newer ones. `urgency` is the item's output to come as a
 * share of that of the longest item of its step.
 */
export function weighVersion(
  version: number | undefined,
  minVersion: number,
  urgency: number,
): number {
  const isNewer = version !== undefined && version > minVersion;
  if (!isNewer) return 1;
  return urgency > URGENT_THRESHOLD
    ? NEWER_VERSION_FACTOR_URGENT
    : NEWER_VERSION_FACTOR;
}
