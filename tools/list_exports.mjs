/**
 * Writes the `exports` of each package.json: the modules that other packages import
 * and those meant for users, one entry per module. With `--check` it writes nothing
 * and fails if an `exports` is out of date.
 */

import {readdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import console from 'node:console';

/** Modules for users of the libraries that no package of this repository imports. */
const publicModules = {
  client: ['step_progress', 'trainer_client'],
  daemon: ['serve', 'vm'],
  core: [
    'scheduling/naive_scheduler',
    'scheduling/policy_scheduler',
    'steps/step_machine',
  ],
};

const importPattern = /['"]@radishyoke\/([a-z]+)\/([a-z0-9_/]+)['"]/g;

function listSources(dir) {
  return readdirSync(dir, {withFileTypes: true, recursive: true})
    .filter(entry => entry.isFile() && entry.name.endsWith('.ts'))
    .map(entry => path.join(entry.parentPath ?? entry.path, entry.name));
}

const packages = readdirSync('packages');
const modulesByPackage = new Map(
  packages.map(name => [name, new Set(publicModules[name])]),
);
const folders = [...packages.map(name => `packages/${name}`), 'platform'];
for (const folder of folders) {
  for (const file of listSources(`${folder}/src`)) {
    const text = readFileSync(file, 'utf8');
    for (const [, target, module] of text.matchAll(importPattern)) {
      modulesByPackage.get(target).add(module);
    }
  }
}

let isStale = false;
for (const [name, modules] of modulesByPackage) {
  const file = `packages/${name}/package.json`;
  const manifest = JSON.parse(readFileSync(file, 'utf8'));
  const entries = [...modules]
    .sort()
    .map(module => [
      `./${module}`,
      {types: `./dist/${module}.d.ts`, default: `./dist/${module}.js`},
    ]);
  const exports = Object.fromEntries(entries);
  if (JSON.stringify(exports) === JSON.stringify(manifest.exports)) continue;
  isStale = true;
  manifest.exports = exports;
  if (!process.argv.includes('--check')) {
    writeFileSync(file, `${JSON.stringify(manifest, null, 2)}\n`);
  }
}
if (isStale && process.argv.includes('--check')) {
  console.error('exports are not up to date: node tools/list_exports.mjs');
  process.exitCode = 1;
}
