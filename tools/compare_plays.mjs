/**
 * Plays the days of one site with two checkouts in pairs of the same day and seed,
 * without charging processor time, and prints mean differences with 95 % confidence
 * intervals. Plays whose report exists are skipped, so that an interrupted
 * comparison continues where it stopped.
 *
 * Usage: node tools/compare_plays.mjs BENCH SITE OUTPUT CHECKOUT_A CHECKOUT_B
 *          [--days NAME|FILE,...] [--seeds N,...] [--jobs N] [--why TEXT]
 *
 * Both checkouts must be built and must not change meanwhile. Keep the entries that
 * the plays add to their journal/.
 */

import console from 'node:console';
import {execFile} from 'node:child_process';
import {existsSync, mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {parseArgs, promisify} from 'node:util';

const run = promisify(execFile);

/** Limit on the logs and tables that one play prints, bytes. */
const MAX_OUTPUT = 512 * 1024 * 1024;
/** Two-sided 95 % quantiles of Student's t for 1 to 30 degrees of freedom. */
const T95 = [
  12.71, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.2, 2.18, 2.16,
  2.14, 2.13, 2.12, 2.11, 2.1, 2.09, 2.09, 2.08, 2.07, 2.07, 2.06, 2.06, 2.06,
  2.05, 2.05, 2.05, 2.04,
];

const {values, positionals} = parseArgs({
  allowPositionals: true,
  options: {
    days: {type: 'string'},
    seeds: {type: 'string', default: '1,2,3'},
    jobs: {type: 'string', default: String(Math.ceil(os.cpus().length / 2))},
    why: {type: 'string', default: 'paired comparison'},
  },
});
const [bench, siteFile, output, ...checkouts] = positionals;
if (checkouts.length !== 2) {
  console.error('usage: compare_plays.mjs BENCH SITE OUTPUT CHECKOUT CHECKOUT');
  process.exit(2);
}
const site = path.resolve(siteFile);
mkdirSync(output, {recursive: true});

function listDays() {
  if (values.days) return values.days.split(',');
  const text = readFileSync(site, 'utf8');
  const days = text.split('\n[[day]]').slice(1);
  return days.map(day => /name = "([^"]+)"/.exec(day)[1]);
}

/** Names the output files of a play; `day` is a day of the site or a file of its own. */
function namePlay(side, day, seed) {
  return `${side}-${path.basename(day, '.toml')}-${seed}`;
}

async function play(checkout, side, day, seed) {
  const name = namePlay(side, day, seed);
  const report = path.resolve(output, `${name}.json`);
  if (existsSync(report)) return;
  const args = ['run', site, day, '--seed', seed, '--no-cpu', '--jobs', '1'];
  const why = `${values.why} (${side}, ${day}, seed ${seed})`;
  args.push('--log', 'all', '--report', report, '--why', why);
  const options = {cwd: checkout, maxBuffer: MAX_OUTPUT};
  const result = await run(bench, args, options).catch(err => err);
  const ages = measureStaleness(`${result.stdout ?? ''}${result.stderr ?? ''}`);
  writeFileSync(path.resolve(output, `${name}.ages`), JSON.stringify(ages));
}

/** Returns, for each finished item, how many versions its oldest span was behind the newest. */
function measureStaleness(stdout) {
  const newestVersions = new Map();
  const modelsByBatch = new Map();
  const ages = [];
  for (const text of stdout.split('\n')) {
    const start = text.indexOf('{"context"');
    if (start < 0) continue;
    let line;
    try {
      line = JSON.parse(text.slice(start));
    } catch {
      // The line was cut off when its process ended.
      continue;
    }
    const {context, message} = line;
    if (message === 'weights named') {
      const previous = newestVersions.get(context.model) ?? 1;
      newestVersions.set(context.model, Math.max(previous, context.version));
    } else if (message === 'batch accepted') {
      modelsByBatch.set(context.requestId, context.model);
    } else if (message === 'item has a result' && context.outcome === 'done') {
      const oldest = Math.min(...context.versions.split(',').map(Number));
      const newest = newestVersions.get(modelsByBatch.get(context.batch)) ?? 1;
      ages.push(Math.max(newest - oldest, 0));
    }
  }
  return ages;
}

function readPlay(side, day, seed) {
  const file = path.resolve(output, namePlay(side, day, seed));
  if (!existsSync(`${file}.json`)) return undefined;
  const report = JSON.parse(readFileSync(`${file}.json`, 'utf8'));
  const ages = existsSync(`${file}.ages`)
    ? JSON.parse(readFileSync(`${file}.ages`, 'utf8'))
    : [];
  const hints = report.hints.join('\n');
  const price = name =>
    report.prices.find(([label]) => label.startsWith(name))?.[1] ?? 0;
  const figures = {
    worth: report.G,
    served: report.served,
    'steps asked': sumMatches(hints, /(\d+) steps asked/g),
    'seconds behind': sumMatches(hints, /the last ([\d.]+) s behind/g),
    'versions behind, mean': mean(ages),
    'versions behind, worst': Math.max(0, ...ages),
    loads: sumMatches(hints, /(\d+) loads/g),
    'store GB': price("GB at the platform's store"),
    'store calls': price('cloud calls'),
    'memory GB s': price('memory'),
    'rules broken': Object.keys(report.breaks).length,
  };
  for (const each of report.classes) figures[`worth ${each.name}`] = each.worth;
  return figures;
}

function sumMatches(text, pattern) {
  let sum = 0;
  for (const [, figure] of text.matchAll(pattern)) sum += Number(figure);
  return sum;
}

function mean(list) {
  if (list.length === 0) return 0;
  return list.reduce((sum, value) => sum + value, 0) / list.length;
}

/** Returns half the width of the 95 % confidence interval of the mean of `list`. */
function measureSpread(list) {
  if (list.length < 2) return Infinity;
  const average = mean(list);
  const squares = list.map(value => (value - average) ** 2);
  const deviation = Math.sqrt(
    (mean(squares) * list.length) / (list.length - 1),
  );
  const t = T95[list.length - 2] ?? 1.96;
  return (t * deviation) / Math.sqrt(list.length);
}

function printPair(label, pairs, key) {
  const a = pairs.map(pair => pair.a[key] ?? 0);
  const b = pairs.map(pair => pair.b[key] ?? 0);
  const differences = b.map((value, i) => value - a[i]);
  const columns = [
    mean(a),
    mean(b),
    mean(differences),
    measureSpread(differences),
  ];
  const cells = columns.map(value => value.toFixed(3).padStart(9)).join(' ');
  console.log(`${label.padEnd(26)} ${cells}  ${pairs.length}`);
}

async function playAll(queue) {
  for (let next = queue.shift(); next; next = queue.shift())
    await play(...next);
}

const days = listDays();
const seeds = values.seeds.split(',');
const queue = [];
for (const seed of seeds) {
  for (const day of days) {
    for (const [i, side] of ['a', 'b'].entries()) {
      queue.push([path.resolve(checkouts[i]), side, day, seed]);
    }
  }
}
await Promise.all(
  Array.from({length: Number(values.jobs)}, () => playAll(queue)),
);

const pairs = days.flatMap(day =>
  seeds.flatMap(seed => {
    const a = readPlay('a', day, seed);
    const b = readPlay('b', day, seed);
    return a && b ? [{day, a, b}] : [];
  }),
);
console.log(`${''.padEnd(26)}         a         b       b-a       +/-  pairs`);
for (const day of days) {
  const ofDay = pairs.filter(pair => pair.day === day);
  if (ofDay.length > 0) printPair(`worth ${day}`, ofDay, 'worth');
}
for (const key of Object.keys(pairs[0]?.a ?? {})) printPair(key, pairs, key);
