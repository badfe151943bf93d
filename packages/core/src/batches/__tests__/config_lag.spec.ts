import test from 'ava';
import fc from 'fast-check';
import {
  ConfigLagModel,
  type LagCommand,
  type RouteSpec,
  SERVICES,
  VMS,
} from './config_lag_model.js';

const routeArbitrary: fc.Arbitrary<RouteSpec> = fc.record({
  service: fc.constantFrom(...SERVICES),
  attempts: fc.integer({min: 1, max: 3}),
  retentionMs: fc.constantFrom(300, 1000, 5000),
});

const vmArbitrary = fc.integer({min: 0, max: VMS - 1});

const commandArbitrary: fc.Arbitrary<LagCommand> = fc.oneof(
  fc.record({
    kind: fc.constant('publish' as const),
    route: fc.option(routeArbitrary, {nil: undefined}),
  }),
  fc.record({
    kind: fc.constant('accept' as const),
    vm: vmArbitrary,
    isOldBuild: fc.boolean(),
  }),
  fc.record({kind: fc.constant('read_config' as const), vm: vmArbitrary}),
  fc.record({kind: fc.constant('read_index' as const)}),
  fc.record({kind: fc.constant('confirm' as const)}),
  fc.record({kind: fc.constant('take_over' as const), vm: vmArbitrary}),
  fc.record({kind: fc.constant('end_run' as const), isFailure: fc.boolean()}),
  fc.record({
    kind: fc.constant('wait' as const),
    ms: fc.constantFrom(20, 100, 400),
  }),
);

const storyArbitrary = fc.record({
  first: fc.option(routeArbitrary, {nil: undefined}),
  commands: fc.array(commandArbitrary, {minLength: 5, maxLength: 60}),
});

const RUNS = {seed: 56, numRuns: 3000};

// Guards against items that are given up, or run by the wrong service, by a configuration older than the one that accepted them.
test('whatever a coordinator has read, it decides by no version older than the acceptance', t => {
  const result = fc.check(
    fc.property(storyArbitrary, ({first, commands}) => {
      const model = new ConfigLagModel({trustsOwnVersion: false}, first);
      for (const command of commands) model.apply(command);
      const unfinished = model.settle();
      return model.violations.length === 0 && unfinished.length === 0;
    }),
    RUNS,
  );
  t.false(result.failed, JSON.stringify(result.counterexample));
});

// Guards against a model that could not fail.
test('the model finds a coordinator that takes its own version for the newest', t => {
  const result = fc.check(
    fc.property(storyArbitrary, ({first, commands}) => {
      const model = new ConfigLagModel({trustsOwnVersion: true}, first);
      for (const command of commands) model.apply(command);
      return model.violations.length === 0;
    }),
    RUNS,
  );
  t.true(result.failed);
});

const ROUTE: RouteSpec = {service: 's0', attempts: 2, retentionMs: 5000};

interface LagCase {
  readonly name: string;
  readonly first: RouteSpec | undefined;
  readonly commands: readonly LagCommand[];
}

const CASES: readonly LagCase[] = [
  {
    name: 'a route that was just added',
    first: undefined,
    commands: [
      {kind: 'publish', route: ROUTE},
      {kind: 'accept', vm: 1, isOldBuild: false},
      {kind: 'read_index'},
    ],
  },
  {
    name: 'a route that was just moved',
    first: ROUTE,
    commands: [
      {kind: 'publish', route: {...ROUTE, service: 's1'}},
      {kind: 'read_config', vm: 1},
      {kind: 'accept', vm: 1, isOldBuild: false},
      {kind: 'read_index'},
    ],
  },
  {
    name: 'a successor that has not read the route',
    first: undefined,
    commands: [
      {kind: 'publish', route: ROUTE},
      {kind: 'accept', vm: 1, isOldBuild: true},
      {kind: 'take_over', vm: 2},
    ],
  },
  {
    name: 'attempts that were raised',
    first: {...ROUTE, attempts: 1},
    commands: [
      {kind: 'accept', vm: 1, isOldBuild: false},
      {kind: 'read_index'},
      {kind: 'publish', route: ROUTE},
      {kind: 'end_run', isFailure: true},
    ],
  },
  {
    name: 'a retention that was raised',
    first: {...ROUTE, retentionMs: 300, attempts: 3},
    commands: [
      {kind: 'accept', vm: 1, isOldBuild: false},
      {kind: 'read_index'},
      {kind: 'publish', route: ROUTE},
      {kind: 'wait', ms: 400},
    ],
  },
  {
    name: 'a route that was removed and brought back',
    first: ROUTE,
    commands: [
      {kind: 'publish', route: undefined},
      {kind: 'read_config', vm: 0},
      {kind: 'publish', route: ROUTE},
      {kind: 'accept', vm: 1, isOldBuild: false},
      {kind: 'read_index'},
    ],
  },
];

for (const {name, first, commands} of CASES) {
  test(`a coordinator that lags behind decides nothing final: ${name}`, t => {
    const trusting = new ConfigLagModel({trustsOwnVersion: true}, first);
    for (const command of commands) trusting.apply(command);
    t.is(trusting.violations.length > 0, true, 'without a guard it does');
    const model = new ConfigLagModel({trustsOwnVersion: false}, first);
    for (const command of commands) model.apply(command);
    t.deepEqual(model.violations, []);
    t.deepEqual(model.settle(), []);
    t.deepEqual(model.violations, []);
  });
}
