/** Fault cases of the drill; each is injected while two steps and an app run. */

import {sleep} from './drill_vm.js';
import type {DrillDeployment} from './drill_deployment.js';

/** Figures that a case measures in addition to those of the callers. */
export interface CaseFigures {
  readonly configSecondsToAll?: number;
  readonly takeoverSeconds?: number;
  /** Requests that start on an endpoint 3 s or more after it began leaving. */
  readonly newWorkAfterLeaving?: number;
  /** Whether all VMs agree which operator won. */
  readonly oneWinner?: boolean;
  /** Exit codes of VMs that were asked to shut down. */
  readonly exitCodes?: ReadonlyArray<number | null>;
}

export interface DrillCase {
  readonly name: string;
  /** Whether every request in flight must complete. */
  readonly graceful: boolean;
  /** Injects the fault; called while the steps are running. */
  readonly run: (deployment: DrillDeployment) => Promise<CaseFigures>;
}

/** Longer than the session's time to live, so that the VM's leases expire. */
const PAUSE_MS = 9000;
const OUTAGE_MS = 4000;
const LEAVING_GRACE_MS = 3000;
const LEAVING_OBSERVATION_MS = 3000;
const TAKEOVER_TIMEOUT_MS = 20_000;
const POLL_MS = 50;

export const DRILL_CASES: readonly DrillCase[] = [
  {name: 'calm', graceful: true, run: async () => ({})},
  {name: 'kill_owner', graceful: false, run: killOwner},
  {name: 'pause_owner', graceful: false, run: pauseOwner},
  {name: 'rolling_replacement', graceful: true, run: replaceAll},
  {name: 'all_at_once', graceful: false, run: killAll},
  {name: 'log_outage', graceful: true, run: interruptLog},
  {name: 'silent_connections', graceful: true, run: silenceLog},
  {name: 'operators_race', graceful: true, run: raceOperators},
  {name: 'endpoint_leaves', graceful: true, run: removeEndpoint},
];

async function killOwner(deployment: DrillDeployment): Promise<CaseFigures> {
  const {lease, vm: id} = findOwner(deployment);
  const vm = deployment.findVm(id)!;
  const killedAtMs = Date.now();
  await vm.kill();
  const takeoverSeconds = await measureTakeover(
    deployment,
    lease,
    id,
    killedAtMs,
  );
  await vm.start();
  return {takeoverSeconds};
}

async function pauseOwner(deployment: DrillDeployment): Promise<CaseFigures> {
  const {lease, vm: id} = findOwner(deployment);
  const vm = deployment.findVm(id)!;
  const pausedAtMs = Date.now();
  vm.pause();
  vm.inRotation = false;
  const takeover = measureTakeover(deployment, lease, id, pausedAtMs);
  await sleep(PAUSE_MS);
  vm.resume();
  const takeoverSeconds = await takeover;
  await vm.waitUntilReady();
  return {takeoverSeconds};
}

async function replaceAll(deployment: DrillDeployment): Promise<CaseFigures> {
  const exitCodes: Array<number | null> = [];
  for (const vm of deployment.vms) {
    exitCodes.push(await vm.drain());
    await vm.start();
  }
  return {exitCodes};
}

async function killAll(deployment: DrillDeployment): Promise<CaseFigures> {
  const {lease} = findOwner(deployment);
  const killedAtMs = Date.now();
  await Promise.all(deployment.vms.map(vm => vm.kill()));
  await Promise.all(deployment.vms.map(vm => vm.start()));
  const takeoverSeconds = await measureTakeover(
    deployment,
    lease,
    '',
    killedAtMs,
  );
  return {takeoverSeconds};
}

async function interruptLog(deployment: DrillDeployment): Promise<CaseFigures> {
  const {faults} = deployment.standIns.log;
  faults.set({kind: 'outage'});
  await sleep(OUTAGE_MS);
  faults.clear();
  return {};
}

/** Makes all open connections of the log and of one engine silent. */
async function silenceLog(deployment: DrillDeployment): Promise<CaseFigures> {
  const before = await deployment.readConfigVersion(deployment.vms[0]);
  const {log, engines} = deployment.standIns;
  log.faults.set({kind: 'silent', connections: 'open'});
  engines[0].faults.set({kind: 'silent', connections: 'open'});
  const version = deployment.publishConfig(before, 'operator');
  const configSecondsToAll = await deployment.measureConfigSeconds(version);
  log.faults.clear();
  engines[0].faults.clear();
  return {configSecondsToAll};
}

async function raceOperators(
  deployment: DrillDeployment,
): Promise<CaseFigures> {
  const before = await deployment.readConfigVersion(deployment.vms[0]);
  const winner = deployment.publishConfig(before, 'first operator');
  deployment.publishConfig(before, 'second operator');
  const configSecondsToAll = await deployment.measureConfigSeconds(winner);
  // Waits until the second record has reached every VM as well.
  await sleep(1000);
  const versions = await Promise.all(
    deployment.vms.map(vm => deployment.readConfigVersion(vm)),
  );
  const oneWinner = versions.every(version => version === winner);
  return {configSecondsToAll, oneWinner};
}

async function removeEndpoint(
  deployment: DrillDeployment,
): Promise<CaseFigures> {
  const [engine] = deployment.standIns.engines;
  deployment.setEngineState(0, 'leaving');
  engine.faults.set({kind: 'leaving'});
  await sleep(LEAVING_GRACE_MS);
  const sinceMs = Date.now();
  await sleep(LEAVING_OBSERVATION_MS);
  const runs = engine.listRuns().filter(run => run.startedAtMs >= sinceMs);
  engine.faults.clear();
  deployment.setEngineState(0, 'live');
  return {newWorkAfterLeaving: runs.length};
}

/** Returns the latest claim on a step. */
function findOwner(deployment: DrillDeployment) {
  const claim = deployment.listStepClaims().at(-1);
  if (!claim) throw new Error('no VM owns a step');
  return claim;
}

/** Returns the seconds from `sinceMs` until a VM other than `oldOwner` claims `lease`. */
async function measureTakeover(
  deployment: DrillDeployment,
  lease: string,
  oldOwner: string,
  sinceMs: number,
): Promise<number | undefined> {
  const endMs = Date.now() + TAKEOVER_TIMEOUT_MS;
  while (Date.now() < endMs) {
    const claim = deployment
      .listStepClaims()
      .find(c => c.lease === lease && c.vm !== oldOwner && c.timeMs > sinceMs);
    if (claim) return (claim.timeMs - sinceMs) / 1000;
    await sleep(POLL_MS);
  }
  return undefined;
}
