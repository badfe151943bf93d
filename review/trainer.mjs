/**
 * A trainer for the cases 4 to 8: submits a batch at one VM after another until it is
 * accepted, reads the results twice per second until it has the groups that it waits
 * for or its time is up, and ends the batch.
 */

import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {HOST, KEY, STEP_MS} from './manifest.mjs';
import {call} from './stage.mjs';

const READ_PAUSE_MS = 500;
const RETRY_PAUSE_MS = 200;
/** Added to the wait that a read asks for, ms. */
const READ_SLACK_MS = 1500;

export class Trainer {
  /** Steps that were played, oldest first. */
  steps = [];
  #next = 0;

  constructor(stage, record, cfg) {
    Object.assign(this, {stage, record, cfg});
  }

  /**
   * Plays one step; `items` come from `createItems`. The trainer waits for
   * `groupsWanted` groups, those in `carried` among them.
   */
  async play(id, items, groupsWanted, carried = new Set()) {
    const step = {
      id,
      items,
      carried,
      startMs: this.record.nowMs,
      results: new Map(),
      isDone: false,
      acceptedMs: undefined,
    };
    this.steps.push(step);
    const endMs = step.startMs + STEP_MS;
    if (!(await this.#submit(step, groupsWanted, endMs))) return step;
    while (this.record.nowMs < endMs && !step.isDone) {
      await this.#read(step);
      step.isDone = hasGroups(step, groupsWanted);
      if (!step.isDone) await sleep(READ_PAUSE_MS);
    }
    step.endMs = this.record.nowMs;
    const end = await this.#repeat('DELETE', `/radishyoke/lots/${id}`, 200);
    this.record.write(
      `${id} ended (${end}): ${step.results.size} of ${items.length} results, ` +
        `${countGroups(step)} of ${groupsWanted} groups`,
    );
    return step;
  }

  async #submit(step, groupsWanted, endMs) {
    const {id, items} = step;
    const body = JSON.stringify({
      Step: this.cfg.step ?? 0,
      Model: 'm0',
      MinVersion: 1,
      GroupCount: groupsWanted,
      Entries: items,
    });
    while (this.record.nowMs < endMs) {
      const answer = await this.#call('POST', `/rollouts/${id}`, body, id);
      this.record.write(
        `${id} submitted with ${items.length} items: ` +
          `${answer.status ?? answer.problem}`,
      );
      if (answer.status === 202) {
        step.acceptedMs = this.record.nowMs;
        return true;
      }
      await sleep(RETRY_PAUSE_MS);
    }
    return false;
  }

  async #read(step) {
    const after = step.results.size;
    const target = `/radishyoke/lots/${step.id}?After=${after}`;
    const answer = await this.#call('GET', target);
    if (answer.status !== 200 || answer.text === undefined) {
      this.record.write(
        `${step.id} read from ${after}: ${answer.status ?? answer.problem}`,
      );
      return;
    }
    const {Results} = JSON.parse(answer.text);
    for (const result of Results) step.results.set(result.Id, result);
    if (Results.length > 0) {
      this.record.write(`${step.id} read ${Results.length} from ${after}`);
    }
  }

  async #repeat(method, target, status) {
    for (let i = 0; i < 10; i++) {
      const answer = await this.#call(method, target);
      if (answer.status === status) return status;
      await sleep(RETRY_PAUSE_MS);
    }
    return 'no answer';
  }

  #call(method, target, body = '', attemptId = undefined) {
    const {vms} = this.stage;
    const vm = vms[this.#next++ % vms.length];
    return call({
      address: vm.front,
      method,
      path: target,
      body,
      timeoutMs: 1000 + READ_SLACK_MS,
      headers: {
        Host: HOST,
        'X-Radishyoke-Wait-Ms': '1000',
        ...(this.cfg.hasTenants ? {Authorization: `Bearer ${KEY}`} : {}),
        ...(attemptId === undefined
          ? {}
          : {'X-Radishyoke-Attempt-Id': attemptId}),
      },
    });
  }
}

/** Creates `groups` x `size` items that each stream `events` events. */
export function createItems(prefix, groups, size, events) {
  return Array.from({length: groups * size}, (_, i) => ({
    Id: `${prefix}-${i}`,
    Path: `/rollouts/${prefix}/${i}`,
    Headers: {
      'X-Radishyoke-Model': 'm0',
      'X-Radishyoke-Token-Usage': `1016,${events * 4}`,
      'X-Radishyoke-Prompt-Prefix': `${(4096 + Math.floor(i / size)).toString(16)}:1000`,
      'X-Events': String(events),
    },
    Body: Buffer.from(`prompt ${prefix} ${i}`).toString('base64'),
    Tokens: 1016 + events * 4,
    Group: `${prefix}-g${Math.floor(i / size)}`,
  }));
}

/** Whether a trainer has the groups that it waits for. */
function hasGroups(step, groupsWanted) {
  const open = listOpenGroups(step);
  const hasCarried = [...step.carried].every(group => !open.has(group));
  return hasCarried && countGroups(step) >= groupsWanted;
}

/** Counts the groups of a step of which every item is listed. */
export function countGroups(step) {
  const all = new Set(step.items.map(({Group}) => Group));
  return all.size - listOpenGroups(step).size;
}

/** Groups of a step that have an item that is not listed. */
export function listOpenGroups({items, results}) {
  const open = items.filter(({Id}) => !results.has(Id));
  return new Set(open.map(({Group}) => Group));
}
