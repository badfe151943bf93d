import {startFakeWeightStore} from '@radishyoke/fakes/fake_weight_store';
import test from 'ava';
import {
  decodeVersions,
  HttpWeightStoreClient,
} from '../http_weight_store_client.js';
import {testWeightStoreClient} from './weight_store_client_contract.js';

testWeightStoreClient('HttpWeightStoreClient', async () => {
  const store = await startFakeWeightStore();
  const client = new HttpWeightStoreClient(store.address);
  const close = async () => {
    await client.close();
    await store.close();
  };
  return {client, faults: store.faults, publish: store.publish, close};
});

test('versions out of order are refused', t => {
  const list = (...versions: number[]) => ({
    versions: versions.map(version => ({version, bytes: 1})),
  });
  t.true(decodeVersions(list(1, 2, 5)).ok);
  t.false(decodeVersions(list(2, 1)).ok);
  t.false(decodeVersions(list(2, 2)).ok);
});
