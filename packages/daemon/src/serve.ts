/**
 * Runs one entry VM as a process, from reading its settings file until it has
 * drained.
 */

import {randomInt} from 'node:crypto';
import {formatProblem} from '@radishyoke/core/rules/config_problem';
import {createLogger, type Logger} from './logger.js';
import {captureSignals} from './process_signals.js';
import {describeSettingsChange} from './settings/settings_change.js';
import {loadSettings, type Settings} from './settings/settings.js';
import {Vm} from './vm.js';

const exitOk = 0;
const exitFailure = 1;
const exitInvalidSettings = 3;
const maxSeed = 2 ** 31;

/**
 * Runs a VM; resolves with the exit code once it has drained or failed to
 * start.
 */
export async function runServe(path: string): Promise<number> {
  const signals = captureSignals();
  const settings = await loadSettings(path);
  if (!settings.ok) {
    for (const problem of settings.error) {
      process.stderr.write(`${formatProblem(problem)}\n`);
    }
    return exitInvalidSettings;
  }
  const {vm, logging, shutdown} = settings.value;
  const logger = createLogger(logging.level, {
    vm: vm.id,
    dataCentre: vm.dataCentre,
  });
  const drainTrigger = createTrigger();
  const service = new Vm({
    settings: settings.value,
    logger,
    seed: randomInt(maxSeed),
    requestDrain: () => drainTrigger.fire('operator'),
  });
  signals.listen(signal => {
    if (signal === 'SIGHUP') void logReload(path, settings.value, logger);
    else drainTrigger.fire(signal);
  });
  const failure = await startOrStop(service);
  if (failure) {
    logger.log('error', 'start failed', {detail: failure});
    return exitFailure;
  }
  const signal = await drainTrigger.fired;
  logger.log('info', 'draining', {signal});
  const report = await service.drain(shutdown.maxDrainMs);
  logger.log(report.appsLeft > 0 ? 'warn' : 'info', 'stopped', {...report});
  return report.appsLeft > 0 ? exitFailure : exitOk;
}

/**
 * Reads the settings again and logs what changed, or the problems of an invalid
 * file. The running VM keeps its settings.
 */
async function logReload(
  path: string,
  current: Settings,
  logger: Logger,
): Promise<void> {
  const next = await loadSettings(path);
  const detail = next.ok
    ? describeSettingsChange(current, next.value)
    : next.error.map(formatProblem).join('; ');
  logger.log(next.ok ? 'info' : 'error', 'settings reloaded', {detail});
}

/**
 * Starts the VM. On failure, such as an address in use, stops it and returns
 * the reason.
 */
async function startOrStop(service: Vm): Promise<string | undefined> {
  try {
    await service.start();
    return undefined;
  } catch (err) {
    await service.stop();
    return err instanceof Error ? err.message : String(err);
  }
}

/**
 * Creates a promise and the function that resolves it; only the first call has
 * an effect.
 */
function createTrigger() {
  let fire: (reason: string) => void = () => undefined;
  const fired = new Promise<string>(resolve => (fire = resolve));
  return {fire, fired};
}
