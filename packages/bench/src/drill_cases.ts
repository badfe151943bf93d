/** The drill's cases: what is broken while two steps and an app run. */

import {sleep} from './drill_vm.js';
import type {DrillWorld} from './drill_world.js';

/** What a case measures besides what the callers see. */
export interface CaseFigures {
  readonly configSecondsToAll?: number;
  readonly takeoverSeconds?: number;
  /** Requests given to an endpoint three seconds and more after it left. */
  readonly newWorkAfterLeaving?: number;
  /** Whether all VMs agree which operator won. */
  readonly oneWinner?: boolean;
  /** Exit codes of VMs that were asked to leave. */
  readonly exitCodes?: ReadonlyArray<number | null>;
}

export interface DrillCase {
  readonly name: string;
  /** Whether no request in flight may be cut off. */
  readonly graceful: boolean;
  /** Breaks something; called when the steps are well under way. */
  readonly run: (world: DrillWorld) => Promise<CaseFigures>;
}

/** Over the session's time to live, so that leases lapse. */
const PAUSE_MS = 9000;
const OUTAGE_MS = 4000;
const LEAVING_GRACE_MS = 3000;
const LEAVING_WATCH_MS = 3000;
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
  {name: 'endpoint_leaves', graceful: true, run: leaveEndpoint},
];

async function killOwner(world: DrillWorld): Promise<CaseFigures> {
  const {lease, vm: id} = findOwner(world);
  const vm = world.findVm(id)!;
  const killedAtMs = Date.now();
  await vm.kill();
  const takeoverSeconds = await measureTakeover(world, lease, id, killedAtMs);
  await vm.start();
  return {takeoverSeconds};
}

async function pauseOwner(world: DrillWorld): Promise<CaseFigures> {
  const {lease, vm: id} = findOwner(world);
  const vm = world.findVm(id)!;
  const pausedAtMs = Date.now();
  vm.pause();
  vm.inRotation = false;
  const takeover = measureTakeover(world, lease, id, pausedAtMs);
  await sleep(PAUSE_MS);
  vm.resume();
  const takeoverSeconds = await takeover;
  await vm.waitUntilReady();
  return {takeoverSeconds};
}

async function replaceAll(world: DrillWorld): Promise<CaseFigures> {
  const exitCodes: Array<number | null> = [];
  for (const vm of world.vms) {
    exitCodes.push(await vm.drain());
    await vm.start();
  }
  return {exitCodes};
}

async function killAll(world: DrillWorld): Promise<CaseFigures> {
  const {lease} = findOwner(world);
  const killedAtMs = Date.now();
  await Promise.all(world.vms.map(vm => vm.kill()));
  await Promise.all(world.vms.map(vm => vm.start()));
  const takeoverSeconds = await measureTakeover(world, lease, '', killedAtMs);
  return {takeoverSeconds};
}

async function interruptLog(world: DrillWorld): Promise<CaseFigures> {
  const {faults} = world.standins.log;
  faults.set({kind: 'outage'});
  await sleep(OUTAGE_MS);
  faults.clear();
  return {};
}

/** All open connections of the log and of an engine go silent at once. */
async function silenceLog(world: DrillWorld): Promise<CaseFigures> {
  const before = await world.readConfigVersion(world.vms[0]);
  const {log, engines} = world.standins;
  log.faults.set({kind: 'silent', connections: 'open'});
  engines[0].faults.set({kind: 'silent', connections: 'open'});
  const version = world.publishConfig(before, 'operator');
  const configSecondsToAll = await world.measureConfigSeconds(version);
  log.faults.clear();
  engines[0].faults.clear();
  return {configSecondsToAll};
}

async function raceOperators(world: DrillWorld): Promise<CaseFigures> {
  const before = await world.readConfigVersion(world.vms[0]);
  const winner = world.publishConfig(before, 'first operator');
  world.publishConfig(before, 'second operator');
  const configSecondsToAll = await world.measureConfigSeconds(winner);
  // Time in which the second record, too, has reached every VM.
  await sleep(1000);
  const versions = await Promise.all(
    world.vms.map(vm => world.readConfigVersion(vm)),
  );
  const oneWinner = versions.every(version => version === winner);
  return {configSecondsToAll, oneWinner};
}

async function leaveEndpoint(world: DrillWorld): Promise<CaseFigures> {
  const [engine] = world.standins.engines;
  world.setEngineState(0, 'leaving');
  engine.faults.set({kind: 'leaving'});
  await sleep(LEAVING_GRACE_MS);
  const sinceMs = Date.now();
  await sleep(LEAVING_WATCH_MS);
  const runs = engine.listRuns().filter(run => run.startedAtMs >= sinceMs);
  engine.faults.clear();
  world.setEngineState(0, 'live');
  return {newWorkAfterLeaving: runs.length};
}

/** The newest claim on a step. */
function findOwner(world: DrillWorld) {
  const claim = world.listStepClaims().at(-1);
  if (!claim) throw new Error('no VM owns a step');
  return claim;
}

/** Seconds from `sinceMs` until a VM other than `oldOwner` claims the lease. */
async function measureTakeover(
  world: DrillWorld,
  lease: string,
  oldOwner: string,
  sinceMs: number,
): Promise<number | undefined> {
  const endMs = Date.now() + TAKEOVER_TIMEOUT_MS;
  while (Date.now() < endMs) {
    const claim = world
      .listStepClaims()
      .find(c => c.lease === lease && c.vm !== oldOwner && c.timeMs > sinceMs);
    if (claim) return (claim.timeMs - sinceMs) / 1000;
    await sleep(POLL_MS);
  }
  return undefined;
}
