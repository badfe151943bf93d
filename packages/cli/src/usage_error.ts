/** The command line can not be understood; ends with the exit code for usage. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}
