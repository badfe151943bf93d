import test from 'ava';
import fc from 'fast-check';
import {silentLogger} from '../../../logger.js';
import {ConfigHolder} from '../config_holder.js';

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
