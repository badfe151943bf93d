/** Canonical JSON, so that equal values have equal digests. */

/**
 * Serializes `value` as JSON with sorted object keys and without undefined
 * members. A log service may not preserve the key order of a stored record.
 */
export function canonicalizeJson(value: unknown): string {
  return JSON.stringify(value, (_key, member: unknown) => {
    if (typeof member !== 'object' || member === null) return member;
    if (Array.isArray(member)) return member;
    const entries = Object.entries(member);
    entries.sort(([a], [b]) => (a < b ? -1 : 1));
    return Object.fromEntries(entries);
  });
}
