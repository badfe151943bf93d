/** What callers may hold of a process, derived from what the process may take. */

/** Limits of all callers of a process together. */
export interface CallerLimits {
  /** Memory for bodies, answers that are not read, and requests sent ahead, bytes. */
  readonly maxHeldBytes: number;
  /** Connections to the listener for callers. */
  readonly maxConnections: number;
  /** Requests of one connection that may wait for their answers. */
  readonly maxRequestsAhead: number;
  /** Longest time without a byte of a body, ms. */
  readonly maxBodySilenceMs: number;
  /** Longest time until a body is whole, ms. */
  readonly maxBodyMs: number;
}

/** What a process may take. */
export interface ProcessLimits {
  /** Memory, MiB. */
  readonly memoryMb: number;
  /** File descriptors. */
  readonly maxFds: number;
}

const MIB = 1024 * 1024;
/** Memory of the process without callers, MiB, with room for batches and lists of endpoints. */
const OWN_MEMORY_MB = 80;
/** Share of the rest that callers may hold; what is dropped stays for a while until it is collected. */
const HELD_SHARE = 0.15;
/** Share of what callers may hold that others may take beside one long body. */
export const BESIDE_LARGE_SHARE = 0.25;
/** Share of the rest for the connections themselves. */
const CONNECTIONS_SHARE = 0.25;
/** Memory of a connection with a request, bytes. */
const CONNECTION_BYTES = 32 * 1024;
/** Least that is left for callers, MiB, however small the process. */
const MIN_SPARE_MB = 32;
/** Descriptors that are kept for files. */
const FILE_FDS = 200;
/** Share of the other descriptors for callers; the rest is for the store, endpoints and other listeners. */
const CALLER_FDS_SHARE = 0.5;
const MIN_CONNECTIONS = 16;

const DEFAULT_REQUESTS_AHEAD = 4;
const DEFAULT_BODY_SILENCE_MS = 10_000;
const DEFAULT_BODY_MS = 60_000;

/** Derives limits that no caller meets who sends one request at a time and does not stall. */
export function deriveCallerLimits({
  memoryMb,
  maxFds,
}: ProcessLimits): CallerLimits {
  const spareBytes = Math.max(memoryMb - OWN_MEMORY_MB, MIN_SPARE_MB) * MIB;
  const byMemory = (spareBytes * CONNECTIONS_SHARE) / CONNECTION_BYTES;
  const byFds = (maxFds - FILE_FDS) * CALLER_FDS_SHARE;
  return {
    maxHeldBytes: Math.floor(spareBytes * HELD_SHARE),
    maxConnections: Math.max(
      Math.floor(Math.min(byMemory, byFds)),
      MIN_CONNECTIONS,
    ),
    maxRequestsAhead: DEFAULT_REQUESTS_AHEAD,
    maxBodySilenceMs: DEFAULT_BODY_SILENCE_MS,
    maxBodyMs: DEFAULT_BODY_MS,
  };
}
