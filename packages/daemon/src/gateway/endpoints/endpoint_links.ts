/**
 * Manages the connection pools to endpoints, one per incarnation of an endpoint, so that a
 * request is never sent on a connection that was opened to an earlier incarnation.
 *
 * An endpoint that left the list gets no new work, but completes what it has. So its pool
 * is retired, not destroyed: the connections end with the requests in flight on them.
 */

import type http from 'node:http';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {MemoryBudget} from '@radishyoke/wire/memory_budget';
import {closeIdleConnections} from './connections.js';
import {EndpointAgent} from './endpoint_agent.js';

/** Idle connections are closed after this time, ms, which is below the shortest idle time-out that endpoints were seen to announce. */
const IDLE_TIMEOUT_MS = 4000;

interface Link {
  readonly agent: EndpointAgent;
  readonly startedAtMs: number;
  readonly address: string;
}

export class EndpointLinks {
  private readonly links = new Map<string, Link>();
  /** Retired pools that had requests in flight when they were last looked at. */
  private readonly retired = new Set<EndpointAgent>();

  /** @param bodies Memory that the bodies of answers share with all that is held for callers. */
  constructor(readonly bodies = new MemoryBudget()) {}

  /** Returns the pool for the incarnation and address in `entry`; ends that of an earlier one. */
  getAgent(entry: EndpointEntry): http.Agent {
    const address = `${entry.host}:${entry.port}`;
    const existing = this.links.get(entry.id);
    const isSameStart = existing?.startedAtMs === entry.startedAtMs;
    if (existing && isSameStart && existing.address === address) {
      return existing.agent;
    }
    // A process that was started again has lost its requests; one that is listed
    // at another address still serves them.
    if (isSameStart) this.retire(existing.agent);
    else existing?.agent.destroy();
    const agent = new EndpointAgent({
      keepAlive: true,
      scheduling: 'lifo',
      timeout: IDLE_TIMEOUT_MS,
    });
    this.links.set(entry.id, {agent, startedAtMs: entry.startedAtMs, address});
    return agent;
  }

  /** Closes the idle connections to an endpoint, since all of them may have gone silent. */
  closeIdle(endpointId: string): void {
    const agent = this.links.get(endpointId)?.agent;
    if (agent) closeIdleConnections(agent);
  }

  /** Retires the pools of endpoints for which `isListed` returns false, and forgets those whose requests have ended. */
  prune(isListed: (endpointId: string) => boolean): void {
    for (const [id, {agent}] of this.links) {
      if (isListed(id)) continue;
      this.links.delete(id);
      this.retire(agent);
    }
    for (const agent of this.retired) {
      if (!agent.isBusy) this.retired.delete(agent);
    }
  }

  /** Number of pools, with the retired ones that are still tracked. */
  get size(): number {
    return this.links.size + this.retired.size;
  }

  close(): void {
    for (const {agent} of this.links.values()) agent.destroy();
    for (const agent of this.retired) agent.destroy();
    this.links.clear();
    this.retired.clear();
  }

  private retire(agent: EndpointAgent): void {
    agent.retire();
    this.retired.add(agent);
  }
}
