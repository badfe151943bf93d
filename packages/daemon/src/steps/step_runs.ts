/** Starts, tracks and stops the running samples of a step at its owner. */

import type {Dispatcher as HttpDispatcher} from 'undici';
import {computeDigest, computePrefixKey} from '@radishyoke/core/ledger/digest';
import type {RouteAction} from '@radishyoke/core/rules/rule';
import type {WorkItem} from '@radishyoke/core/scheduling/scheduler';
import type {StepLedger} from '@radishyoke/core/steps/step_ledger';
import {
  buildSampleKey,
  SampleOutput,
  SampleRef,
  StepOutput,
} from '@radishyoke/core/steps/step_message';
import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {EndpointId} from '@radishyoke/shared/ids';
import type {TokenSpan} from '@radishyoke/shared/rollout';
import type {Dispatcher} from '../scheduling/dispatcher.js';
import {EndedSampleAttempt, SampleRunner} from './sample_runner.js';

/** Assumed characters per token for estimating the length of a prompt. */
const charsPerToken = 4;

export type RunOrder = Extract<StepOutput, {readonly kind: 'run'}>;

export interface StepRunsOptions {
  readonly ledger: StepLedger;
  readonly fencing: number;
  readonly action: RouteAction;
  readonly dispatcher: Dispatcher;
  readonly http: HttpDispatcher;
  /** Returns the step's deadline, Unix ms. */
  readonly findDeadlineAtMs: () => number;
  readonly onAttemptStart: (
    ref: SampleRef,
    attempt: number,
    endpoint: EndpointId,
  ) => void;
  readonly onOutput: (output: SampleOutput) => void;
  readonly onGiveUp: (ref: SampleRef, error: RadishyokeError) => void;
  /**
   * Called with a run's attempts when the run has ended, whatever its outcome.
   */
  readonly onRunEnd: (
    ref: SampleRef,
    attempts: readonly EndedSampleAttempt[],
  ) => void;
  /** Called with a number of generated tokens that no trainer will receive. */
  readonly onWasted: (tokens: number) => void;
}

interface Run {
  readonly ref: SampleRef;
  readonly runner: SampleRunner;
}

export class StepRuns {
  private readonly runs = new Map<string, Run>();
  /**
   * Samples whose attempt by an earlier owner has already been adopted; each is
   * adopted once.
   */
  private readonly adoptedSamples = new Set<string>();
  private workItemCount = 0;

  constructor(private readonly options: StepRunsOptions) {}

  run(order: RunOrder): void {
    const {group, sample} = order;
    const ref: SampleRef = {group, sample};
    const adoptable = this.findAdoptableAttempt(ref);
    const runner = this.createRunner(
      order,
      ref,
      adoptable?.attempt ?? order.firstAttempt,
    );
    this.runs.set(buildSampleKey(ref), {ref, runner});
    if (!adoptable) {
      runner.submit();
      return;
    }
    const prefix = this.buildRequestPrefix(ref, adoptable.fencing);
    runner.adopt(adoptable.endpoint, `${prefix}.${adoptable.attempt}`);
  }

  abandon(ref: SampleRef): void {
    const run = this.runs.get(buildSampleKey(ref));
    if (!run) return;
    this.options.dispatcher.cancel(run.runner.workId);
    run.runner.stopAll();
    this.endRun(ref);
  }

  /**
   * Lists samples all of whose attempts contain output of weights older than
   * `version`.
   */
  listOutdated(version: number): readonly SampleRef[] {
    return [...this.runs.values()]
      .filter(({runner}) => runner.isOutdated(version))
      .map(({ref}) => ref);
  }

  /**
   * Stops reading but lets the engines continue, so that the next owner can
   * adopt the attempts.
   */
  detachAll(): void {
    for (const {runner} of this.runs.values()) runner.detachAll();
  }

  /** Removes all samples from the scheduler without stopping the engines. */
  forgetAll(): void {
    for (const {runner} of this.runs.values()) {
      this.options.dispatcher.forget(runner.workId);
    }
  }

  /**
   * Builds the request id of an owner's attempts at a sample, without the
   * attempt number.
   */
  buildRequestPrefix(ref: SampleRef, fencing: number): string {
    const {tenant, step} = this.options.ledger.opening;
    return `${tenant}/${step}/${ref.group}.${ref.sample}.${fencing}`;
  }

  private createRunner(
    order: RunOrder,
    ref: SampleRef,
    firstAttempt: number,
  ): SampleRunner {
    const {ledger, dispatcher, http, fencing} = this.options;
    const {model, groups} = ledger.opening.req;
    const {prompt, maxTokens} = groups[ref.group];
    return new SampleRunner({
      ...ref,
      requestPrefix: this.buildRequestPrefix(ref, fencing),
      workItem: this.buildWorkItem(order),
      firstAttempt,
      model,
      prompt,
      maxTokens,
      seed: hashSeed(`${ledger.key}/${buildSampleKey(ref)}`),
      http,
      dispatcher,
      onAttemptStart: (attempt, endpoint) =>
        this.options.onAttemptStart(ref, attempt, endpoint),
      onOutput: output => {
        this.endRun(ref, sumTokens(output.spans));
        this.options.onOutput(output);
      },
      onGiveUp: error => {
        this.endRun(ref);
        this.options.onGiveUp(ref, error);
      },
    });
  }

  /**
   * Finds the last attempt of an earlier owner if its endpoint still exists.
   */
  private findAdoptableAttempt(ref: SampleRef) {
    const {ledger, dispatcher, fencing} = this.options;
    const last = ledger.listAttempts(ref.group, ref.sample).at(-1);
    if (!last || last.fencing === fencing) return undefined;
    if (this.adoptedSamples.has(buildSampleKey(ref))) return undefined;
    this.adoptedSamples.add(buildSampleKey(ref));
    const endpoint = dispatcher.findEndpoint(last.endpoint);
    return endpoint && {...last, endpoint};
  }

  private buildWorkItem(order: RunOrder): WorkItem {
    const {ledger, action, findDeadlineAtMs} = this.options;
    const {tenant, req} = ledger.opening;
    const {prompt, maxTokens} = req.groups[order.group];
    return {
      id: `${ledger.key}/${buildSampleKey(order)}#${++this.workItemCount}`,
      tenant,
      workClass: 'rollout',
      group: action.group,
      model: req.model,
      priority: action.priority,
      deadlineAtMs: findDeadlineAtMs(),
      promptTokens: Math.ceil(prompt.length / charsPerToken),
      maxTokens,
      prefixKey: computePrefixKey(prompt),
      stepKey: ledger.key,
      groupKey: `${ledger.key}/${order.group}`,
      minWeightVersion: order.minWeightVersion,
      idempotent: true,
      maxAttempts: action.maxAttempts,
      hedge: action.hedge,
      maxInFlight: action.maxInFlight,
      // The prompts of one trainer often share a prefix. A fingerprint of the
      // prefix would blame all of them for the one that crashes engines.
      fingerprint: computeDigest(prompt),
    };
  }

  /**
   * Ends a run of whose received tokens `usedTokens` are delivered; the rest
   * count as wasted.
   */
  private endRun(ref: SampleRef, usedTokens = 0): void {
    const key = buildSampleKey(ref);
    const run = this.runs.get(key);
    if (!run) return;
    this.runs.delete(key);
    this.options.onRunEnd(ref, run.runner.listAttempts());
    const received = run.runner.receivedTokens;
    if (received > usedTokens) this.options.onWasted(received - usedTokens);
  }
}

function sumTokens(spans: readonly TokenSpan[]): number {
  return spans.reduce((sum, span) => sum + span.tokens, 0);
}

/**
 * Returns a seed that is the same on every VM, so that a rerun generates the
 * same sample.
 */
function hashSeed(text: string): number {
  return parseInt(computePrefixKey(text).slice(0, 8), 16);
}
