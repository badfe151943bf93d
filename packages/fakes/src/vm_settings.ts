/** Settings of a VM whose platform is not there, for tests of how it starts and ends. */

export interface SingleVmSettings {
  /** `ip:port` for operators; a free port is taken without. */
  readonly adminAddress?: string;
  /** How long a drain waits for the balancer, with a unit. */
  readonly notice?: string;
}

/** The text of the settings file; nobody listens at port 1 of the platform. */
export function createSingleVmSettings({
  adminAddress = '127.0.0.1:0',
  notice = '1ms',
}: SingleVmSettings = {}): string {
  return `[vm]
id = entry-1
data_centre = salto
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
admin_address = ${adminAddress}
[platform]
log = 127.0.0.1:1
vm_list = 127.0.0.1:1
weight_store = 127.0.0.1:1
[peers]
shared_key = a-key-for-tests-only
[shutdown]
notice = ${notice}
max_drain = 1s
[tenants]
trainer = growers
`;
}
