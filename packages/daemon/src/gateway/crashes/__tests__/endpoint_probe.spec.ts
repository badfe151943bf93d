import net from 'node:net';
import test from 'ava';
import {startRawServer} from '../../__tests__/gateway_fixtures.js';
import {probeEndpoint} from '../endpoint_probe.js';

test('an endpoint that keeps a connection open is reachable', async t => {
  const server = await startRawServer('', 'keep');
  t.teardown(() => server.close());
  t.true(await probeEndpoint(server.entry));
});

test('an endpoint that refuses connections is unreachable', async t => {
  const server = await startRawServer('', 'keep');
  await server.close();
  t.false(await probeEndpoint(server.entry));
});

// Guards against a proxy in front of a dead endpoint being treated as the endpoint.
test('an endpoint whose connections close at once is unreachable', async t => {
  const server = net.createServer(socket => socket.destroy());
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  t.teardown(() => server.close());
  const {port} = server.address() as net.AddressInfo;
  t.false(await probeEndpoint({host: '127.0.0.1', port}));
});
