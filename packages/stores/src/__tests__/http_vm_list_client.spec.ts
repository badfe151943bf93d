import {startFakeVmList} from '@radishyoke/fakes/fake_vm_list';
import {HttpVmListClient} from '../http_vm_list_client.js';
import {testVmListClient} from './vm_list_client_contract.js';

testVmListClient('HttpVmListClient', async () => {
  const list = await startFakeVmList();
  const client = new HttpVmListClient(list.address);
  const close = async () => {
    await client.close();
    await list.close();
  };
  return {client, faults: list.faults, update: list.update, close};
});
