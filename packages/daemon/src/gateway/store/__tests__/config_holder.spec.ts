import test from 'ava';
import fc from 'fast-check';
import {silentLogger} from '../../../logger.js';
import type {Configuration} from '@radishyoke/core/routing/route_table';
import {ConfigHolder, type ConfigSource} from '../config_holder.js';

// Callers meet rules again that they have seen replaced.
// 1. A VM reads a new version and serves by it.
// 2. After a reconnect the log returns what it held a moment before.
test('the version in force never goes back, in whatever order versions are read', t => {
  fc.assert(
    fc.property(fc.array(fc.integer({min: 1, max: 30})), versions => {
      const holder = new ConfigHolder(silentLogger);
      const heard: number[] = [];
      holder.onChange(table => heard.push(table.cfg.version));
      for (const version of versions) {
        const before = holder.version;
        const isTaken = holder.offer({
          version,
          routes: [],
          services: [],
          limits: {
            maxHeaderBytes: 1,
            maxBodyBytes: 1,
            headerTimeoutMs: 1,
            idleTimeoutMs: 1,
          },
        });
        t.is(isTaken, version > before);
        t.is(holder.version, Math.max(version, before));
      }
      t.deepEqual(
        heard,
        [...new Set(heard)].sort((a, b) => a - b),
      );
    }),
    {seed: 2, numRuns: 500},
  );
});

/** A version of a configuration in which `key` belongs to an account, if one is given. */
function createConfig(version: number, key?: string): Configuration {
  const accounts = key === undefined ? [] : [{name: 'alpha', keys: [key]}];
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  return {version, routes: [], services: [], limits, accounts};
}

/** A log that answers as told, and says how often it was asked. */
function createSource(isReadable: boolean, silenceMs = 0) {
  const calls = {count: 0};
  const source: ConfigSource = {
    catchUp: async () => {
      calls.count += 1;
      return isReadable;
    },
    measureSilenceMs: () => silenceMs,
  };
  return {source, calls: calls};
}

test('guards against a refusal for good by a VM that has not read the version with the key', async t => {
  const holder = new ConfigHolder(silentLogger);
  holder.offer(createConfig(1));
  holder.attach({
    catchUp: async () => holder.offer(createConfig(2, 'new')) || true,
    measureSilenceMs: () => 0,
  });
  const admission = await holder.admit('new', false);
  t.like(admission, {kind: 'admitted', caller: {name: 'alpha'}});
});

test('guards against a refusal for good while the log can not be read', async t => {
  const holder = new ConfigHolder(silentLogger);
  holder.offer(createConfig(1, 'known'));
  holder.attach(createSource(false, 60_000).source);
  t.is((await holder.admit('new', false)).kind, 'uncertain');
  t.is((await holder.admit('known', false)).kind, 'admitted');
  t.false(await holder.isComplete());
});

test('guards against a key that is served on for longer than the operator allows', async t => {
  const holder = new ConfigHolder(silentLogger, 5000);
  holder.offer(createConfig(1, 'known'));
  const {source, calls} = createSource(false, 5001);
  holder.attach(source);
  t.is((await holder.admit('known', false)).kind, 'uncertain');
  t.is(calls.count, 1);
  holder.attach(createSource(true, 5001).source);
  t.is((await holder.admit('known', false)).kind, 'admitted');
});

test('a key that is known is admitted without a question to the log', async t => {
  const holder = new ConfigHolder(silentLogger);
  holder.offer(createConfig(1, 'known'));
  const {source, calls} = createSource(true);
  holder.attach(source);
  t.is((await holder.admit('known', false)).kind, 'admitted');
  t.is(calls.count, 0);
  t.is((await holder.admit('wrong', false)).kind, 'refused');
  t.is(calls.count, 1);
});

test('nothing is admitted or refused before a configuration is known', async t => {
  const holder = new ConfigHolder(silentLogger);
  t.is((await holder.admit('key', false)).kind, 'uncertain');
});

test('guards against a caller that is held while the log is silent', async t => {
  const holder = new ConfigHolder(silentLogger);
  holder.offer(createConfig(1, 'known'));
  holder.attach({
    catchUp: () => new Promise<never>(() => undefined),
    measureSilenceMs: () => 0,
  });
  t.is((await holder.admit('new', false)).kind, 'uncertain');
  t.false(await holder.isComplete());
});
