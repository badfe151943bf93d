/** Thrown for an invalid command line; the process ends with the exit code for usage. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}
