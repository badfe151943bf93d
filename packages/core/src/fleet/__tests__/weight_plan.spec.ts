import test from 'ava';
import fc from 'fast-check';
import {
  computeShare,
  type LoadCandidate,
  pickLoads,
  rankModels,
  type VersionNeed,
} from '../weight_plan.js';

const MODELS = ['m0', 'm1', 'm2'];
const MAX_LOADS = 2;

function createCandidate(
  id: string,
  extra: Partial<LoadCandidate> = {},
): LoadCandidate {
  return {
    id,
    version: 4,
    isBusy: false,
    isHealthy: true,
    running: 0,
    free: 8,
    gapMs: 35,
    ...extra,
  };
}

function createNeed(extra: Partial<VersionNeed> = {}): VersionNeed {
  return {newest: 5, minVersion: 4, waiting: 0, share: 2, ...extra};
}

/** Simulated engines that complete each load at once. */
class LoadingFleet {
  readonly versions = new Map<string, Map<string, number>>();
  readonly loads = new Map<string, number>();

  constructor(readonly count: number) {
    for (const model of MODELS) {
      const ids = Array.from({length: count}, (_, i) => `e${i}`);
      this.versions.set(model, new Map(ids.map(id => [id, 1])));
    }
  }

  describe(
    model: string,
    unhealthy: ReadonlySet<string> = new Set(),
  ): readonly LoadCandidate[] {
    return [...this.versions.get(model)!].map(([id, version]) =>
      createCandidate(id, {
        version,
        isHealthy: !unhealthy.has(id),
        gapMs: 35 + (this.loads.get(id) ?? 0),
      }),
    );
  }

  /**
   * Loads `newest` until no more loads are planned; returns the engines that
   * loaded.
   */
  loadAll(
    model: string,
    newest: number,
    unhealthy: ReadonlySet<string> = new Set(),
  ): readonly string[] {
    const share = computeShare(this.count, MODELS.length, 2);
    const need = createNeed({newest, minVersion: newest - 1, share});
    const loaded: string[] = [];
    for (;;) {
      const ids = pickLoads(this.describe(model, unhealthy), need, MAX_LOADS);
      if (ids.length === 0) return loaded;
      for (const id of ids) {
        this.versions.get(model)!.set(id, newest);
        this.loads.set(id, (this.loads.get(id) ?? 0) + 1);
        loaded.push(id);
      }
    }
  }

  /** Returns how many engines may serve a step that allows `oldest`. */
  countUsable(model: string, oldest: number): number {
    const versions = [...this.versions.get(model)!.values()];
    return versions.filter(version => version >= oldest).length;
  }
}

test('each model gets an equal share of the engines to load a version', t => {
  t.is(computeShare(6, 3, 2), 2);
  t.is(computeShare(34, 3, 2), 11);
  t.is(computeShare(4, 3, 2), 2);
  t.is(computeShare(1, 3, 2), 1);
  t.is(computeShare(0, 3, 2), 0);
});

test('nothing loads while enough engines have the newest version', t => {
  const engines = [
    createCandidate('e0', {version: 5}),
    createCandidate('e1', {loadingVersion: 5, isBusy: true}),
    createCandidate('e2', {version: 3}),
  ];
  t.deepEqual(pickLoads(engines, createNeed(), MAX_LOADS), []);
});

// Guards against a step whose engines load while others have outdated weights.
// 1. The newest version is published while a step runs on the previous one.
// 2. The engines of that step load and pause its items for about one second.
// This happens if engines with the version in use are chosen to load.
test('engines whose weights are too old for the next step load first', t => {
  const engines = [
    createCandidate('e0', {version: 4, gapMs: 20}),
    createCandidate('e1', {version: 4, gapMs: 20}),
    createCandidate('e2', {version: 3}),
    createCandidate('e3', {version: 2, gapMs: 50}),
  ];
  const need = createNeed({waiting: 7});
  t.deepEqual(pickLoads(engines, need, MAX_LOADS), ['e2', 'e3']);
});

test('of the outdated engines, the idle and the fast ones load first', t => {
  const engines = [
    createCandidate('e0', {version: 3, running: 1, gapMs: 20}),
    createCandidate('e1', {version: 3, gapMs: 46}),
    createCandidate('e2', {version: 3, gapMs: 34}),
    createCandidate('e3', {version: 3, gapMs: 38}),
  ];
  t.deepEqual(pickLoads(engines, createNeed(), MAX_LOADS), ['e2', 'e3']);
});

// Guards against trainers that wait for two engines while four are idle.
// 1. The coordinator starts when two engines are listed; both load.
// 2. The others are listed one second later and never get a version.
test('engines that are listed later load the next version', t => {
  const early = [0, 1].map(i => createCandidate(`e${i}`, {version: 5}));
  const later = [2, 3].map(i => createCandidate(`e${i}`, {version: 1}));
  const need = createNeed({newest: 6, minVersion: 5});
  t.deepEqual(pickLoads([...early, ...later], need, MAX_LOADS), ['e2', 'e3']);
});

test('another engine loads in place of a slow one', t => {
  const engines = [
    createCandidate('e0', {version: 5}),
    createCandidate('e1', {version: 5, isHealthy: false}),
    createCandidate('e2', {version: 3, isHealthy: false}),
    createCandidate('e3', {version: 3}),
  ];
  t.deepEqual(pickLoads(engines, createNeed(), MAX_LOADS), ['e3']);
});

test('if no engine is healthy, the unhealthy ones load', t => {
  const engines = [0, 1].map(i =>
    createCandidate(`e${i}`, {version: 3, isHealthy: false}),
  );
  t.deepEqual(pickLoads(engines, createNeed(), MAX_LOADS), ['e0', 'e1']);
});

test('if all engines serve the step, they load one after another', t => {
  const busy = createCandidate('e1', {running: 8, free: 0});
  const idle = createCandidate('e0');
  t.deepEqual(pickLoads([idle, busy], createNeed(), MAX_LOADS), ['e0']);
  const loading = createCandidate('e0', {loadingVersion: 5, isBusy: true});
  t.deepEqual(pickLoads([loading, busy], createNeed(), MAX_LOADS), []);
  const need = createNeed({waiting: 3});
  t.deepEqual(pickLoads([idle, busy], need, MAX_LOADS), []);
});

test('an engine with runs loads once the others have room for them', t => {
  const done = createCandidate('e0', {version: 5, running: 4, free: 4});
  const busy = createCandidate('e1', {running: 5});
  t.deepEqual(pickLoads([done, busy], createNeed(), MAX_LOADS), []);
  const fits = {...busy, running: 4};
  t.deepEqual(pickLoads([done, fits], createNeed(), MAX_LOADS), ['e1']);
});

// Guards against a step that waits for one second while no engine can serve it.
// 1. All engines still run the last step and none has loaded since.
// 2. The next step may not use their weights.
test('if no engine can serve the step, they load at once, idle ones first', t => {
  const need = createNeed({newest: 6, minVersion: 5, waiting: 3, share: 1});
  const engines = [3, 0, 1].map((running, i) =>
    createCandidate(`e${i}`, {running}),
  );
  t.deepEqual(pickLoads(engines, need, MAX_LOADS), ['e1']);
  const both = {...need, share: 2};
  t.deepEqual(pickLoads(engines, both, MAX_LOADS), ['e1', 'e2']);
});

test('no more engines load at once than are allowed, and none that is busy', t => {
  const engines = [0, 1, 2, 3].map(i =>
    createCandidate(`e${i}`, {version: 2, isBusy: i === 0}),
  );
  t.deepEqual(pickLoads(engines, createNeed(), 1), ['e1']);
  t.deepEqual(pickLoads(engines, createNeed(), 0), []);
  t.deepEqual(pickLoads(engines, createNeed(), -1), []);
});

test('versions rotate: a step can use twice as many engines as load each version', t => {
  const fleet = new LoadingFleet(6);
  for (let version = 2; version <= 12; version++) {
    for (const model of MODELS) {
      t.is(fleet.loadAll(model, version).length, 2);
      t.true(fleet.countUsable(model, version - 1) >= 4);
    }
  }
  const loads = [...fleet.loads.values()];
  t.is(loads.length, 6, 'every engine takes part');
  t.true(Math.max(...loads) - Math.min(...loads) <= 3);
});

test('each model gets its newest version whichever engines fail', t => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 12}),
      fc.array(fc.array(fc.nat(11), {maxLength: 4}), {maxLength: 6}),
      (count, rounds) => {
        const fleet = new LoadingFleet(count);
        rounds.forEach((failed, round) => {
          const newest = round + 2;
          const unhealthy = new Set(failed.map(i => `e${i}`));
          for (const model of MODELS) {
            const loaded = fleet.loadAll(model, newest, unhealthy);
            t.true(loaded.length <= computeShare(count, MODELS.length, 2));
            t.true(fleet.countUsable(model, newest) >= 1);
            const healthy = fleet
              .describe(model, unhealthy)
              .filter(({isHealthy}) => isHealthy);
            if (healthy.length > 0) {
              t.true(healthy.some(({version}) => version === newest));
            }
          }
        });
      },
    ),
    {seed: 3, numRuns: 300},
  );
});

// Guards against a step that waits for seconds although engines could load for
// it.
// 1. A coordinator is replaced; three models are behind and two engines may
//    load at once.
// 2. Models load in a fixed order; the last one has a step that no engine may
//    run.
test('a model whose step no engine may run loads first', t => {
  const behind = {
    model: 'behind',
    candidates: [createCandidate('e0', {version: 4})],
    need: createNeed({newest: 6, minVersion: 4, waiting: 3}),
  };
  const calm = {
    model: 'calm',
    candidates: [createCandidate('e0', {version: 5})],
    need: createNeed({newest: 6, minVersion: 5}),
  };
  const stuck = {
    model: 'stuck',
    candidates: [createCandidate('e0', {version: 4})],
    need: createNeed({newest: 6, minVersion: 5, waiting: 3}),
  };
  const ranked = rankModels([calm, behind, stuck]).map(({model}) => model);
  t.deepEqual(ranked, ['stuck', 'behind', 'calm']);
});
