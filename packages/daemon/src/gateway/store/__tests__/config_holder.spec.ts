import test from 'ava';
import fc from 'fast-check';
import {silentLogger} from '../../../logger.js';
import type {Configuration} from '@radishyoke/core/routing/route_table';
import {ConfigHolder, type ConfigSource} from '../config_holder.js';

// Guards against routes that reappear after they were replaced: after a reconnect the log
// can return an older version than the one a VM already applied.
test('the current version never decreases, whatever the order in which versions are read', t => {
  fc.assert(
    fc.property(fc.array(fc.integer({min: 1, max: 30})), versions => {
      const holder = new ConfigHolder(silentLogger);
      const applied: number[] = [];
      holder.onChange(table => applied.push(table.cfg.version));
      for (const version of versions) {
        const before = holder.version;
        const isApplied = holder.offer({
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
        t.is(isApplied, version > before);
        t.is(holder.version, Math.max(version, before));
      }
      t.deepEqual(
        applied,
        [...new Set(applied)].sort((a, b) => a - b),
      );
    }),
    {seed: 2, numRuns: 500},
  );
});

/** Creates a configuration in which `key`, if given, belongs to an account. */
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

/** Creates a source with fixed answers that counts its reads. */
function createSource(isReadable: boolean, silenceMs = 0) {
  const calls = {count: 0};
  const source: ConfigSource = {
    catchUp: async () => {
      calls.count += 1;
      return isReadable;
    },
    measureSilenceMs: () => silenceMs,
  };
  return {source, calls};
}

test('a key in a version that was not read yet is admitted', async t => {
  const holder = new ConfigHolder(silentLogger);
  holder.offer(createConfig(1));
  holder.attach({
    catchUp: async () => holder.offer(createConfig(2, 'new')) || true,
    measureSilenceMs: () => 0,
  });
  const admission = await holder.admit('new', false);
  t.like(admission, {kind: 'admitted', caller: {name: 'alpha'}});
});

test('an unknown key is not refused while the log can not be read', async t => {
  const holder = new ConfigHolder(silentLogger);
  holder.offer(createConfig(1, 'known'));
  holder.attach(createSource(false, 60_000).source);
  t.is((await holder.admit('new', false)).kind, 'uncertain');
  t.is((await holder.admit('known', false)).kind, 'admitted');
  t.false(await holder.confirmCurrent());
});

test('a key is not admitted for longer than maxKeyAgeMs without contact to the log', async t => {
  const holder = new ConfigHolder(silentLogger, 5000);
  holder.offer(createConfig(1, 'known'));
  const {source, calls} = createSource(false, 5001);
  holder.attach(source);
  t.is((await holder.admit('known', false)).kind, 'uncertain');
  t.is(calls.count, 1);
  holder.attach(createSource(true, 5001).source);
  t.is((await holder.admit('known', false)).kind, 'admitted');
});

test('a known key is admitted without reading the log', async t => {
  const holder = new ConfigHolder(silentLogger);
  holder.offer(createConfig(1, 'known'));
  const {source, calls} = createSource(true);
  holder.attach(source);
  t.is((await holder.admit('known', false)).kind, 'admitted');
  t.is(calls.count, 0);
  t.is((await holder.admit('wrong', false)).kind, 'refused');
  t.is(calls.count, 1);
});

test('nothing is admitted or refused before a configuration was read', async t => {
  const holder = new ConfigHolder(silentLogger);
  t.is((await holder.admit('key', false)).kind, 'uncertain');
});

test('a caller does not wait for a log that does not answer', async t => {
  const holder = new ConfigHolder(silentLogger);
  holder.offer(createConfig(1, 'known'));
  holder.attach({
    catchUp: () => new Promise<never>(() => undefined),
    measureSilenceMs: () => 0,
  });
  t.is((await holder.admit('new', false)).kind, 'uncertain');
  t.false(await holder.confirmCurrent());
});
