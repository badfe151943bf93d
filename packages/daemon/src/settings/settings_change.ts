/**
 * Describes the outcome of a settings reload. A running process keeps its
 * settings, so a change is only logged and applies from the next start.
 */

/** Describes for the log whether a reloaded settings file differs. */
export function describeSettingsChange(current: object, next: object): string {
  const isSame = JSON.stringify(current) === JSON.stringify(next);
  return isSame ? 'unchanged' : 'changes wait for the next start';
}
