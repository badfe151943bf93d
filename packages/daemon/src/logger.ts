/** Structured logging: `roarr` writes JSON lines to standard output. */

import './enable_roarr.js';
import {ROARR, Roarr} from 'roarr';
import type {LogEventFields, LogEventName} from '@radishyoke/shared/log_event';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Weights of the levels as in `roarr`. */
const levelWeights: Readonly<Record<LogLevel, number>> = {
  debug: 20,
  info: 30,
  warn: 40,
  error: 50,
};

/**
 * Fields of a log line. A line about a request contains every named field whose
 * value has been determined.
 */
export interface LogFields {
  readonly requestId?: string;
  readonly stepId?: string;
  readonly tenant?: string;
  readonly rule?: string;
  readonly configVersion?: number;
  readonly endpoint?: string;
  readonly [field: string]: string | number | boolean | undefined;
}

export interface Logger {
  log(level: LogLevel, message: string, fields?: LogFields): void;
}

/**
 * A logger that accepts only the events and fields listed in `LogEventFields`.
 */
export interface EventLogger {
  log<E extends LogEventName>(
    level: LogLevel,
    event: E,
    fields: LogEventFields[E],
  ): void;
}

/**
 * Creates a logger that drops lines below `level` and passes the others to
 * `write`.
 */
export function createLogger(
  level: LogLevel,
  base: LogFields,
  write: (line: string) => void = line => process.stdout.write(`${line}\n`),
): Logger {
  ROARR.write = write;
  const root = Roarr.child({...base, application: 'radishyoke'});
  return {
    log(lineLevel, message, fields = {}) {
      if (levelWeights[lineLevel] < levelWeights[level]) return;
      root[lineLevel](fields, '%s', message);
    },
  };
}

/** A logger that drops all lines, for tests and embedding. */
export const silentLogger: Logger = {log: () => undefined};
