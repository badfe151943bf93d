/** The weight store over loopback HTTP, as docs/PROTOCOLS.md specifies it. */

import type http from 'node:http';
import {FaultPlan, TransportFault} from './fault_plan.js';
import {
  createNotFound,
  FaultyHttpServer,
  HttpFailure,
  HttpStandIn,
  readBody,
  sendJson,
  splitPath,
} from './http_server.js';
import {WeightStoreModel} from './weight_store_model.js';

const DEFAULT_FETCHES_PER_SECOND = 20;
const FILLER = Buffer.alloc(64 * 1024);

export type WeightStoreFault =
  | TransportFault
  /** Replaces the limit on fetches. */
  | {readonly kind: 'rate_limit'; readonly fetchesPerSecond: number};

/** A running weight store. */
export interface FakeWeightStore extends HttpStandIn {
  readonly faults: FaultPlan<WeightStoreFault>;
  readonly model: WeightStoreModel;
  publish(model: string, version: number, bytes?: number): void;
}

/** Options to start a weight store with; port 0 picks a free port. */
export interface FakeWeightStoreOptions {
  readonly port?: number;
  readonly fetchesPerSecond?: number;
}

export async function startFakeWeightStore(
  options: FakeWeightStoreOptions = {},
): Promise<FakeWeightStore> {
  const limit = options.fetchesPerSecond ?? DEFAULT_FETCHES_PER_SECOND;
  const model = new WeightStoreModel(limit);
  const faults = new FaultPlan<WeightStoreFault>();
  const server = await FaultyHttpServer.start(
    async (req, res, url) => {
      const fault = faults.find('rate_limit');
      model.setFetchesPerSecond(fault?.fetchesPerSecond ?? limit);
      await serve(model, req, res, url);
    },
    faults.asTransport(),
    options.port,
  );
  return {
    faults,
    model,
    address: server.address,
    close: () => server.close(),
    publish: (name, version, bytes = 0) => model.publish(name, version, bytes),
  };
}

async function serve(
  store: WeightStoreModel,
  req: http.IncomingMessage,
  res: http.ServerResponse,
  url: URL,
): Promise<void> {
  const [root, model, leaf, versionText] = splitPath(url);
  if (root !== 'models' || leaf !== 'versions') throw createNotFound();
  if (versionText === undefined) {
    if (req.method !== 'GET') throw createNotFound();
    return sendJson(res, 200, {versions: store.listVersions(model)});
  }
  const version = readVersion(versionText);
  if (req.method === 'GET') return sendWeights(store, model, version, res);
  if (req.method !== 'PUT') throw createNotFound();
  store.publish(model, version, (await readBody(req)).length);
  sendJson(res, 200, {version});
}

function readVersion(text: string): number {
  if (!/^\d{1,15}$/.test(text))
    throw new HttpFailure(400, {error: 'bad_version'});
  return Number(text);
}

function sendWeights(
  store: WeightStoreModel,
  model: string,
  version: number,
  res: http.ServerResponse,
): void {
  const answer = store.fetch(model, version, Date.now());
  if (answer.kind === 'unknown_version') throw createNotFound();
  if (answer.kind === 'limited') {
    const seconds = String(Math.ceil(answer.retryAfterMs / 1000));
    return sendJson(res, 429, {error: 'limited'}, {'retry-after': seconds});
  }
  res.writeHead(200, {
    'content-type': 'application/octet-stream',
    'content-length': answer.bytes,
  });
  for (let left = answer.bytes; left > 0; left -= FILLER.length)
    res.write(FILLER.subarray(0, left));
  res.end();
}
