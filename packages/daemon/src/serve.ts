/** Runs one entry VM as a process, from a settings file to its drained end. */

import {randomInt} from 'node:crypto';
import {formatProblem} from '@radishyoke/core/rules/config_problem';
import {createLogger} from './logger.js';
import {loadSettings} from './settings/settings.js';
import {Vm} from './vm.js';

const exitOk = 0;
const exitFailure = 1;
const exitInvalidSettings = 3;
const maxSeed = 2 ** 31;

/** Resolves with the exit code when the VM has drained. */
export async function runServe(path: string): Promise<number> {
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
  const drainAsked = createTrigger();
  const service = new Vm({
    settings: settings.value,
    logger,
    seed: randomInt(maxSeed),
    requestDrain: () => drainAsked.pull('operator'),
  });
  const told = Promise.race([waitForSignal(), drainAsked.pulled]);
  const failure = await startOrStop(service);
  if (failure) {
    logger.log('error', 'start failed', {detail: failure});
    return exitFailure;
  }
  const signal = await told;
  logger.log('info', 'draining', {signal});
  const report = await service.drain(shutdown.maxDrainMs);
  logger.log(report.appsLeft > 0 ? 'warn' : 'info', 'stopped', {...report});
  return report.appsLeft > 0 ? exitFailure : exitOk;
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

function createTrigger() {
  let pull: (reason: string) => void = () => undefined;
  const pulled = new Promise<string>(resolve => (pull = resolve));
  return {pull, pulled};
}

function waitForSignal(): Promise<string> {
  return new Promise(resolve => {
    process.once('SIGTERM', () => resolve('SIGTERM'));
    process.once('SIGINT', () => resolve('SIGINT'));
  });
}
