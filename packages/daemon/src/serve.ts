/** Runs one entry VM as a process, from a settings file to its drained end. */

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

/** Resolves with the exit code when the VM has drained. */
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
    requestDrain: () => drainTrigger.pull('operator'),
  });
  signals.listen(signal => {
    if (signal === 'SIGHUP') void logReload(path, settings.value, logger);
    else drainTrigger.pull(signal);
  });
  const failure = await startOrStop(service);
  if (failure) {
    logger.log('error', 'start failed', {detail: failure});
    return exitFailure;
  }
  const signal = await drainTrigger.pulled;
  logger.log('info', 'draining', {signal});
  const report = await service.drain(shutdown.maxDrainMs);
  logger.log(report.appsLeft > 0 ? 'warn' : 'info', 'stopped', {...report});
  return report.appsLeft > 0 ? exitFailure : exitOk;
}

/** Reads the settings again and tells what changed; a file with mistakes changes nothing. */
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

/** Starts the VM; what failed, for example an address in use, is returned. */
async function startOrStop(service: Vm): Promise<string | undefined> {
  try {
    await service.start();
    return undefined;
  } catch (err) {
    await service.stop();
    return err instanceof Error ? err.message : String(err);
  }
}

/** Something that is asked for once; asking again changes nothing. */
function createTrigger() {
  let pull: (reason: string) => void = () => undefined;
  const pulled = new Promise<string>(resolve => (pull = resolve));
  return {pull, pulled};
}
