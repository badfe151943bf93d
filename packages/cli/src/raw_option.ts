/**
 * Reads options as text from the raw arguments. The option parser turns values
 * that look like numbers into numbers, so that a model `4.0` would become `4`
 * and match another rule.
 */

import {UsageError} from './usage_error.js';

/** All values of `--name`, in order. */
export function readOptions(
  rawArgs: readonly string[],
  name: string,
): readonly string[] {
  const flag = `--${name}`;
  const values: string[] = [];
  rawArgs.forEach((arg, i) => {
    if (arg.startsWith(`${flag}=`)) values.push(arg.slice(flag.length + 1));
    else if (arg === flag && rawArgs[i + 1] !== undefined) {
      values.push(rawArgs[i + 1]);
    }
  });
  return values;
}

/** The one value of `--name`, or undefined. */
export function readOption(
  rawArgs: readonly string[],
  name: string,
): string | undefined {
  const values = readOptions(rawArgs, name);
  if (values.length > 1) throw new UsageError(`--${name} is given twice`);
  return values[0];
}

/** The one value of `--name`, which must be there. */
export function requireOption(
  rawArgs: readonly string[],
  name: string,
): string {
  const value = readOption(rawArgs, name);
  if (value === undefined) throw new UsageError(`--${name} is required`);
  return value;
}
