/**
 * Manages the connection pools to endpoints, one per incarnation of an endpoint, so that a
 * request is never sent on a connection that was opened to an earlier incarnation.
 */

import type http from 'node:http';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {closeIdleConnections} from './connections.js';
import {EndpointAgent} from './endpoint_agent.js';

/** Idle connections are closed after this time, ms, which is below the shortest idle time-out that endpoints were seen to announce. */
const IDLE_TIMEOUT_MS = 4000;

interface Link {
  readonly agent: http.Agent;
  readonly startedAtMs: number;
  readonly address: string;
}

export class EndpointLinks {
  private readonly links = new Map<string, Link>();

  /** Returns the pool for the incarnation and address in `entry`; closes that of an earlier one. */
  getAgent(entry: EndpointEntry): http.Agent {
    const address = `${entry.host}:${entry.port}`;
    const existing = this.links.get(entry.id);
    if (
      existing?.startedAtMs === entry.startedAtMs &&
      existing.address === address
    ) {
      return existing.agent;
    }
    existing?.agent.destroy();
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

  /** Closes all connections to an endpoint that was removed. */
  drop(endpointId: string): void {
    this.links.get(endpointId)?.agent.destroy();
    this.links.delete(endpointId);
  }

  close(): void {
    for (const {agent} of this.links.values()) agent.destroy();
    this.links.clear();
  }
}
