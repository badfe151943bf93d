/**
 * Reads options as text from the raw arguments. The option parser converts values
 * that look like numbers, so a model named `4.0` would become `4` and match
 * another rule.
 */

import {UsageError} from './usage_error.js';

/** Returns all values of `--name`, in order. */
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

/** Returns the value of `--name`, or undefined; the option may be given only once. */
export function readOption(
  rawArgs: readonly string[],
  name: string,
): string | undefined {
  const values = readOptions(rawArgs, name);
  if (values.length > 1) throw new UsageError(`--${name} is given twice`);
  return values[0];
}

/** Returns the value of the required option `--name`. */
export function requireOption(
  rawArgs: readonly string[],
  name: string,
): string {
  const value = readOption(rawArgs, name);
  if (value === undefined) throw new UsageError(`--${name} is required`);
  return value;
}
