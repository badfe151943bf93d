/**
 * Finds the first rule that matches a request. For each condition, an index maps
 * a value to the bit set of rules that accept it. Resolving a request looks up
 * one bit set per condition and returns the lowest bit that is set in all of
 * them, at the cost of one map look-up per condition (several for paths) and one
 * word operation per condition and 32 rules.
 */

import type {
  Rule,
  RuleDecision,
  RuleFacts,
  RuleSet,
  RuleConditions,
} from './rule.js';
import {canonicalizePath} from './rule_path.js';

type RuleBits = Uint32Array;

/** Index of the rules by the values that one condition accepts. */
interface ValueIndex {
  readonly byValue: ReadonlyMap<string, RuleBits>;
  /**
   * Rules without this condition, which match values that are absent or not
   * listed.
   */
  readonly unconditional: RuleBits;
}

interface HeaderIndex extends ValueIndex {
  readonly name: string;
  /**
   * Rules that match when the header is present with a value that no rule
   * lists.
   */
  readonly unlisted: RuleBits;
}

interface PathIndex extends ValueIndex {
  readonly longestPrefix: number;
}

/** A rule set with its indexes. */
export interface CompiledRules {
  readonly ruleSet: RuleSet;
  readonly tenant: ValueIndex;
  readonly workClass: ValueIndex;
  readonly model: ValueIndex;
  readonly method: ValueIndex;
  readonly dataCentre: ValueIndex;
  readonly path: PathIndex;
  readonly headers: readonly HeaderIndex[];
}

const WORD_BITS = 32;
const ANY_VALUE = '*';

/** Builds the indexes of `ruleSet`, once per configuration. */
export function compileRules(ruleSet: RuleSet): CompiledRules {
  const {rules} = ruleSet;
  const index = (
    pick: (when: RuleConditions) => readonly string[] | undefined,
  ) => indexValues(rules, pick);
  return {
    ruleSet,
    tenant: index(when => when.tenant),
    workClass: index(when => when.workClass),
    model: index(when => when.model),
    method: index(when => when.method),
    dataCentre: index(when => when.dataCentre),
    path: indexPaths(rules),
    headers: indexHeaders(rules),
  };
}

/** Returns the first rule whose conditions all hold, or undefined. */
export function resolveRule(
  compiled: CompiledRules,
  facts: RuleFacts,
): RuleDecision | undefined {
  const sets = [
    pickBits(compiled.tenant, facts.tenant),
    pickBits(compiled.workClass, facts.workClass),
    pickBits(compiled.model, facts.model),
    pickBits(compiled.method, facts.method),
    pickBits(compiled.dataCentre, facts.dataCentre),
    pickPathBits(compiled.path, facts.path),
  ];
  for (const header of compiled.headers) {
    sets.push(pickHeaderBits(header, facts.headers));
  }
  const index = findFirstShared(sets);
  if (index < 0) return undefined;
  const {name, then} = compiled.ruleSet.rules[index];
  return {rule: name, index, then};
}

/**
 * Returns the value of a header in the form that conditions are compared with.
 */
export function readHeader(
  headers: RuleFacts['headers'],
  name: string,
): string | undefined {
  // Node.js stores headers in a plain object, so inherited properties such as
  // `constructor` would otherwise pass for headers.
  const value = Object.hasOwn(headers, name) ? headers[name] : undefined;
  return typeof value === 'string' || value === undefined
    ? value
    : value.join(', ');
}

function indexValues(
  rules: readonly Rule[],
  pick: (when: RuleConditions) => readonly string[] | undefined,
): ValueIndex {
  const unconditional = createBits(rules.length);
  rules.forEach((rule, i) => {
    if (!pick(rule.when)) setBit(unconditional, i);
  });
  const byValue = new Map<string, RuleBits>();
  rules.forEach((rule, i) => {
    for (const value of pick(rule.when) ?? []) {
      setBit(getOrAdd(byValue, value, unconditional), i);
    }
  });
  return {byValue, unconditional};
}

function indexPaths(rules: readonly Rule[]): PathIndex {
  const pick = (when: RuleConditions) => when.pathPrefix?.map(canonicalizePath);
  const {byValue, unconditional} = indexValues(rules, pick);
  const prefixes = [...byValue.keys()].sort((a, b) => a.length - b.length);
  // A path covered by a long prefix is also covered by its listed shorter
  // prefixes. Merging those sets here lets a look-up stop at the longest match.
  for (const prefix of prefixes) {
    const parent = findLongestPrefix(byValue, prefix, prefix.length - 1);
    if (parent) addBits(byValue.get(prefix)!, parent);
  }
  return {
    byValue,
    unconditional,
    longestPrefix: prefixes.at(-1)?.length ?? 0,
  };
}

function indexHeaders(rules: readonly Rule[]): readonly HeaderIndex[] {
  const names = new Set(rules.flatMap(rule => Object.keys(rule.when.headers)));
  return [...names].map(name => {
    const pick = ({headers}: RuleConditions) =>
      Object.hasOwn(headers, name) ? headers[name] : undefined;
    const {byValue, unconditional} = indexValues(rules, pick);
    const unlisted = byValue.get(ANY_VALUE) ?? unconditional;
    for (const bits of byValue.values()) addBits(bits, unlisted);
    return {name, byValue, unconditional, unlisted};
  });
}

function pickBits(index: ValueIndex, value: string | undefined): RuleBits {
  if (value === undefined) return index.unconditional;
  return index.byValue.get(value) ?? index.unconditional;
}

function pickPathBits(index: PathIndex, path: string): RuleBits {
  const canonical = canonicalizePath(path);
  return (
    findLongestPrefix(index.byValue, canonical, index.longestPrefix) ??
    index.unconditional
  );
}

function pickHeaderBits(
  index: HeaderIndex,
  headers: RuleFacts['headers'],
): RuleBits {
  const joined = readHeader(headers, index.name);
  if (joined === undefined) return index.unconditional;
  return index.byValue.get(joined) ?? index.unlisted;
}

/**
 * Returns the set of the longest listed prefix of `path`, up to `maxLength`
 * characters.
 */
function findLongestPrefix(
  byPrefix: ReadonlyMap<string, RuleBits>,
  path: string,
  maxLength: number,
): RuleBits | undefined {
  let end = path.length;
  while (end >= 0) {
    if (end <= maxLength) {
      const bits = byPrefix.get(path.slice(0, end));
      if (bits) return bits;
    }
    if (end === 0) break;
    end = path.lastIndexOf('/', Math.min(end - 1, maxLength));
  }
  return undefined;
}

function findFirstShared(sets: readonly RuleBits[]): number {
  const words = sets[0].length;
  for (let word = 0; word < words; word++) {
    let shared = 0xffffffff;
    for (const set of sets) shared &= set[word];
    if (shared !== 0) return word * WORD_BITS + findLowestBit(shared);
  }
  return -1;
}

function findLowestBit(word: number): number {
  return WORD_BITS - 1 - Math.clz32(word & -word);
}

function createBits(count: number): RuleBits {
  return new Uint32Array(Math.ceil(count / WORD_BITS));
}

function setBit(bits: RuleBits, index: number): void {
  bits[Math.floor(index / WORD_BITS)] |= 1 << (index % WORD_BITS);
}

function addBits(target: RuleBits, source: RuleBits): void {
  for (let word = 0; word < target.length; word++) target[word] |= source[word];
}

function getOrAdd(
  byValue: Map<string, RuleBits>,
  value: string,
  initial: RuleBits,
): RuleBits {
  let bits = byValue.get(value);
  if (!bits) {
    bits = initial.slice();
    byValue.set(value, bits);
  }
  return bits;
}
