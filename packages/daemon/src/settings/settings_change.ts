/**
 * What a reload of the settings means. All settings hold for the life of a
 * process, so a change is told and waits for the next start.
 */

/** What became of a settings file, for the log. */
export function describeSettingsChange(current: object, next: object): string {
  const isSame = JSON.stringify(current) === JSON.stringify(next);
  return isSame ? 'unchanged' : 'changes wait for the next start';
}
