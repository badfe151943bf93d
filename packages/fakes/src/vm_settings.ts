/** Settings of a VM without a reachable platform, for tests of its start and shutdown. */

export interface SingleVmSettings {
  /** `ip:port` for operators; a free port by default. */
  readonly adminAddress?: string;
  /** How long a drain waits for the load balancer, with a unit. */
  readonly notice?: string;
}

/** Returns the text of the settings file; nothing listens on the platform's port 1. */
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
