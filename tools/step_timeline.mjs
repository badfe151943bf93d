/**
 * Prints where the time of each step went, from the log lines of the coordinator:
 * when its items started, when its last results came, which runs they took, and
 * when the trainer ended it.
 *
 * Usage: node tools/step_timeline.mjs LOG_FILE [--last N]
 *
 * Reads JSON lines of the service; text before the first brace of a line, such as
 * a time or a VM, is skipped. Lines that are not complete are counted and left out:
 * some collectors cut long writes, and a step with missing lines is not comparable.
 */

import console from 'node:console';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';

const {values, positionals} = parseArgs({
  allowPositionals: true,
  options: {last: {type: 'string', default: '4'}},
});
const [file] = positionals;
if (file === undefined) {
  console.error('usage: step_timeline.mjs LOG_FILE [--last N]');
  process.exit(2);
}

const END_OF_RUN = /^run (?!started)/;

/** @returns {{lines: readonly object[], unreadable: number}} */
function readLines(path) {
  const lines = [];
  let unreadable = 0;
  for (const text of readFileSync(path, 'utf8').split('\n')) {
    const start = text.indexOf('{"context"');
    if (start < 0) continue;
    try {
      lines.push(JSON.parse(text.slice(start)));
    } catch {
      unreadable += 1;
    }
  }
  lines.sort((a, b) => a.time - b.time);
  return {lines, unreadable};
}

/** Folds the lines into steps, by batch id, in the order of their first run. */
function collectSteps(lines) {
  const steps = new Map();
  for (const {time, message, context} of lines) {
    if (message === 'batch end') {
      const step = steps.get(context.requestId);
      if (step) step.endedMs ??= time;
      continue;
    }
    if (context.batch === undefined) continue;
    if (message === 'run started') recordStart(steps, time, context);
    const item = steps.get(context.batch)?.items.get(context.requestId);
    if (!item) continue;
    if (message === 'item has a result') item.listedMs ??= time;
    else if (END_OF_RUN.test(message)) recordEnd(item, message, context);
  }
  return steps;
}

function recordStart(steps, time, {batch, requestId}) {
  const step = steps.get(batch) ?? {startedMs: time, items: new Map()};
  steps.set(batch, step);
  const item = step.items.get(requestId) ?? {startedMs: time, runs: []};
  step.items.set(requestId, item);
  item.runs.push({end: '?', events: 0});
}

function recordEnd(item, message, {reason, from}) {
  const run = item.runs.at(-1);
  run.end = message === 'run stopped' ? reason : message.slice('run '.length);
  run.events = Number(from) + 1;
}

function describeStep({startedMs, endedMs, items}, lastCount) {
  const all = [...items.values()];
  const waits = all.map(item => item.startedMs - startedMs);
  waits.sort((a, b) => a - b);
  const listed = all.filter(({listedMs}) => listedMs !== undefined);
  listed.sort((a, b) => a.listedMs - b.listedMs);
  const last = listed.slice(-lastCount).map(item => {
    const ends = item.runs.slice(0, -1).map(({end}) => end);
    const moved = ends.length > 0 ? ` after ${ends.join(',')}` : '';
    const tookMs = item.listedMs - item.startedMs;
    const {events} = item.runs.at(-1);
    return `${format(item.startedMs - startedMs)}+${format(tookMs)} (${events} events${moved})`;
  });
  const ended = endedMs === undefined ? '-' : format(endedMs - startedMs);
  const pick = share => format(waits[Math.floor(waits.length * share)]);
  return `${all.length} items, starts p50 ${pick(0.5)} p90 ${pick(0.9)}, ended ${ended}, last: ${last.join('; ')}`;
}

function format(ms) {
  return (ms / 1000).toFixed(2);
}

const {lines, unreadable} = readLines(file);
const steps = collectSteps(lines);
const firstMs = Math.min(...[...steps.values()].map(step => step.startedMs));
for (const step of steps.values()) {
  const at = format(step.startedMs - firstMs);
  console.log(`${at} s: ${describeStep(step, Number(values.last))}`);
}
console.log(`${steps.size} steps, ${unreadable} unreadable lines`);
