import test from 'ava';
import fc from 'fast-check';
import {
  type Configuration,
  pickService,
  type Route,
  RouteTable,
} from '../route_table.js';

function createRoute(
  host: string,
  pathPrefix: string,
  name = pathPrefix,
): Route {
  return {
    name,
    host,
    pathPrefix,
    kind: 'idempotent',
    resumable: false,
    services: [{service: 'app', weight: 1}],
    attempts: 2,
    timeoutMs: 800,
    objectiveMs: 200,
    priority: 0,
  };
}

function createTable(routes: readonly Route[]): RouteTable {
  const cfg: Configuration = {
    version: 1,
    routes,
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
  return new RouteTable(cfg);
}

test('the route of the host with the longest matching prefix applies', t => {
  const table = createTable([
    createRoute('a.example', '/'),
    createRoute('a.example', '/notes/'),
    createRoute('a.example', '/notes/new/'),
    createRoute('b.example', '/notes/'),
  ]);
  t.is(table.match('A.example:80', '/notes/new/7?x=/y/')?.name, '/notes/new/');
  t.is(table.match('a.example', '/notes/newer')?.name, '/notes/');
  t.is(table.match('a.example', '/notes')?.name, '/');
  t.is(table.match('b.example', '/other/'), undefined);
  t.is(table.match('c.example', '/notes/'), undefined);
});

/** Reference implementation: tries all routes, longest prefix first. */
function matchNaively(
  routes: readonly Route[],
  host: string,
  path: string,
): string | undefined {
  return [...routes]
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    .find(route => route.host === host && path.startsWith(route.pathPrefix))
    ?.name;
}

test('look-ups agree with trying every route', t => {
  const segment = fc.constantFrom('a', 'b', 'ab');
  const prefix = fc
    .array(segment, {maxLength: 3})
    .map(parts => `/${parts.map(part => `${part}/`).join('')}`);
  const path = fc
    .array(segment, {maxLength: 4})
    .map(parts => `/${parts.join('/')}`);
  fc.assert(
    fc.property(fc.uniqueArray(prefix), path, (prefixes, requested) => {
      const routes = prefixes.map(text => createRoute('h', text));
      const expected = matchNaively(routes, 'h', requested);
      t.is(createTable(routes).match('h', requested)?.name, expected);
    }),
    {seed: 1},
  );
});

test('a split route gives each service its share', t => {
  const route: Route = {
    ...createRoute('h', '/'),
    services: [
      {service: 'old', weight: 90},
      {service: 'new', weight: 10},
    ],
  };
  t.is(pickService(route, 0), 'old');
  t.is(pickService(route, 0.899), 'old');
  t.is(pickService(route, 0.901), 'new');
});
