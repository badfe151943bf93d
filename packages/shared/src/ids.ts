/**
 * Branded identifiers. A brand exists only at compile time and prevents one kind
 * of id, such as an endpoint's, from being passed where another is expected.
 */

declare const brand: unique symbol;

type Branded<Name extends string> = string & {readonly [brand]: Name};

/** One of the service's own VMs, under the name given in its settings. */
export type VmId = Branded<'VmId'>;
/** One run of a VM's process; each restart gets a new id. */
export type IncarnationId = Branded<'IncarnationId'>;
/** A model engine or a plain service that requests are routed to. */
export type EndpointId = Branded<'EndpointId'>;
export type DataCentreId = Branded<'DataCentreId'>;
/** A client account: the trainer or app that requests are accounted to. */
export type TenantId = Branded<'TenantId'>;
/** A team of operators, which owns client accounts and one rule set. */
export type TeamId = Branded<'TeamId'>;
/** A step; unique within its client account. */
export type StepId = Branded<'StepId'>;
/** `step/group/sample`, unique within a client account and shared by all attempts. */
export type RolloutId = Branded<'RolloutId'>;
/**
 * One request; the service generates the id, or the caller supplies it for app
 * requests.
 */
export type RequestId = Branded<'RequestId'>;

export const toVmId = (value: string) => value as VmId;
export const toIncarnationId = (value: string) => value as IncarnationId;
export const toEndpointId = (value: string) => value as EndpointId;
export const toDataCentreId = (value: string) => value as DataCentreId;
export const toTenantId = (value: string) => value as TenantId;
export const toTeamId = (value: string) => value as TeamId;
export const toStepId = (value: string) => value as StepId;
export const toRequestId = (value: string) => value as RequestId;

/** Returns the id of one sample of a step; `group` and `sample` count from 0. */
export function toRolloutId(
  step: StepId,
  group: number,
  sample: number,
): RolloutId {
  return `${step}/${group}/${sample}` as RolloutId;
}
