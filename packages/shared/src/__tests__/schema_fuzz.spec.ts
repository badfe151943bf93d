import test from 'ava';
import fc from 'fast-check';
import {loadReportSchema, vmListSchema} from '../endpoint.js';
import {STEP_LIMITS, stepRequestSchema} from '../rollout.js';

const FAST_CHECK_SEED = 20_240_603;
const PARAMETERS = {seed: FAST_CHECK_SEED, numRuns: 1000};

type Json = fc.JsonValue;
type Path = readonly string[];

/**
 * A schema, a body that it accepts, and a predicate that all its output must
 * satisfy.
 */
interface SchemaCase {
  readonly name: string;
  readonly schema: {
    safeParse(body: unknown): {success: boolean; data?: unknown};
  };
  readonly valid: Json;
  readonly isValidOutput: (data: never) => boolean;
}

const isCount = (n: unknown) => Number.isSafeInteger(n) && (n as number) >= 0;

interface StepBody {
  readonly timeoutMs: number;
  readonly maxStaleness: number;
  readonly weightVersion: number;
  readonly groups: ReadonlyArray<{
    readonly prompt: string;
    readonly samples: number;
    readonly maxTokens: number;
  }>;
}

const CASES: readonly SchemaCase[] = [
  {
    name: 'stepRequestSchema',
    schema: stepRequestSchema,
    valid: {
      model: 'tutor',
      weightVersion: 3,
      maxStaleness: 2,
      timeoutMs: 1000,
      groups: [{prompt: 'p', samples: 2, maxTokens: 10}],
    },
    isValidOutput: (step: StepBody) =>
      isCount(step.weightVersion) &&
      isCount(step.maxStaleness) &&
      step.timeoutMs > 0 &&
      step.timeoutMs <= STEP_LIMITS.timeoutMs &&
      step.groups.length > 0 &&
      step.groups.every(
        group =>
          typeof group.prompt === 'string' &&
          isCount(group.samples - 1) &&
          isCount(group.maxTokens - 1) &&
          group.samples <= STEP_LIMITS.samplesPerGroup,
      ),
  },
  {
    name: 'vmListSchema',
    schema: vmListSchema,
    valid: {
      vms: [
        {
          id: 'vm-1',
          peerAddress: '10.0.0.1:1',
          callerAddress: '10.0.0.1:2',
          dataCentre: 'salto',
          state: 'live',
        },
      ],
      endpoints: [
        {
          id: 'e-1',
          kind: 'engine',
          address: '10.0.0.2:1',
          dataCentre: 'salto',
          group: 'drafts',
          model: 'drafts',
          state: 'leaving',
          checksFencing: true,
        },
      ],
    },
    isValidOutput: (list: {
      readonly vms: ReadonlyArray<{readonly id: string}>;
      readonly endpoints: ReadonlyArray<{
        readonly id: string;
        readonly state: string;
      }>;
    }) =>
      [...list.vms, ...list.endpoints].every(({id}) => id.length > 0) &&
      list.endpoints.every(e => ['live', 'leaving'].includes(e.state)),
  },
  {
    name: 'loadReportSchema',
    schema: loadReportSchema,
    valid: {
      running: 1,
      waiting: 0,
      waitingPromptTokens: 12,
      tokensPerSecond: 3.5,
      weightVersion: 4,
      leaving: false,
      measuredAtMs: 1_700_000_000_000,
    },
    isValidOutput: (load: {
      readonly running: number;
      readonly waiting: number;
      readonly weightVersion: number;
      readonly tokensPerSecond: number;
    }) =>
      isCount(load.running) &&
      isCount(load.waiting) &&
      isCount(load.weightVersion) &&
      load.tokensPerSecond >= 0,
  },
];

/** Lists the paths of all values in a body, starting with the body itself. */
function listPaths(value: Json, path: Path = []): Path[] {
  if (typeof value !== 'object' || value === null) return [path];
  const children = Object.entries(value as Record<string, Json>);
  return [
    path,
    ...children.flatMap(([key, child]) => listPaths(child, [...path, key])),
  ];
}

/**
 * Returns a copy of `value` with the value at `path` replaced; undefined removes it.
 */
function replaceAt(
  value: Json,
  path: Path,
  replacement: Json | undefined,
): unknown {
  if (path.length === 0) return replacement;
  const [key, ...rest] = path;
  const copy = structuredClone(value) as Record<string, Json>;
  const child = replaceAt(copy[key], rest, replacement);
  if (child === undefined) delete copy[key];
  else copy[key] = child as Json;
  return copy;
}

const unusualValueArb: fc.Arbitrary<Json | undefined> = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom<Json | undefined>(
    undefined,
    null,
    -1,
    0,
    0.5,
    2 ** 53,
    1e300,
    '',
    '1',
    [],
    {},
  ),
);

for (const c of CASES) {
  test(`${c.name} accepts no damaged body whose output breaks its invariants`, t => {
    t.true(c.schema.safeParse(c.valid).success);
    const pathArb = fc.constantFrom(...listPaths(c.valid));
    fc.assert(
      fc.property(pathArb, unusualValueArb, (path, replacement) => {
        const parsed = c.schema.safeParse(
          replaceAt(c.valid, path, replacement),
        );
        t.true(!parsed.success || c.isValidOutput(parsed.data as never));
      }),
      PARAMETERS,
    );
  });

  test(`${c.name} accepts no arbitrary body whose output breaks its invariants`, t => {
    fc.assert(
      fc.property(fc.anything(), body => {
        const parsed = c.schema.safeParse(body);
        t.true(!parsed.success || c.isValidOutput(parsed.data as never));
      }),
      PARAMETERS,
    );
  });
}
