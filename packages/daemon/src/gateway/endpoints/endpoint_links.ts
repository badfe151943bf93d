/**
 * Connections to endpoints: one pool for each life of each endpoint, so that a
 * request never goes out on a connection that was opened to another one.
 */

import http from 'node:http';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {closeIdleConnections} from './connections.js';

/** An idle connection is given up after this long, ms; below the shortest idle time-out that endpoints were seen to state. */
const IDLE_TIMEOUT_MS = 4000;

interface Link {
  readonly agent: http.Agent;
  readonly startedAtMs: number;
  readonly address: string;
}

export class EndpointLinks {
  private readonly links = new Map<string, Link>();

  /** The pool that leads to `entry` as it lives now. */
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
    const agent = new http.Agent({
      keepAlive: true,
      scheduling: 'lifo',
      timeout: IDLE_TIMEOUT_MS,
    });
    this.links.set(entry.id, {agent, startedAtMs: entry.startedAtMs, address});
    return agent;
  }

  /** Gives up the idle connections to an endpoint: they may all be silent. */
  closeIdle(endpointId: string): void {
    const agent = this.links.get(endpointId)?.agent;
    if (agent) closeIdleConnections(agent);
  }

  /** Closes all connections to an endpoint that is gone. */
  drop(endpointId: string): void {
    this.links.get(endpointId)?.agent.destroy();
    this.links.delete(endpointId);
  }

  close(): void {
    for (const {agent} of this.links.values()) agent.destroy();
    this.links.clear();
  }
}
