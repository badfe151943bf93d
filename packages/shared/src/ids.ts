/**
 * Branded identifiers. A brand costs nothing at run time and keeps an endpoint's
 * name from being passed where a VM's is wanted.
 */

declare const brand: unique symbol;

type Branded<Name extends string> = string & {readonly [brand]: Name};

/** One of the service's own VMs, as named in its settings. */
export type VmId = Branded<'VmId'>;
/** One life of a VM's process; a restart gets another. */
export type IncarnationId = Branded<'IncarnationId'>;
/** A model engine or a plain service. */
export type EndpointId = Branded<'EndpointId'>;
export type DataCentreId = Branded<'DataCentreId'>;
/** Whoever sends requests and is accounted for them: a trainer or an app. */
export type TenantId = Branded<'TenantId'>;
/** A team of operators, which owns tenants and one rule set. */
export type TeamId = Branded<'TeamId'>;
/** A step, unique within its tenant. */
export type StepId = Branded<'StepId'>;
/** `step/group/sample`, unique within a tenant. All attempts share it. */
export type RolloutId = Branded<'RolloutId'>;
/** One request as the service sees it: minted here, or by the caller for apps. */
export type RequestId = Branded<'RequestId'>;

export const toVmId = (value: string) => value as VmId;
export const toIncarnationId = (value: string) => value as IncarnationId;
export const toEndpointId = (value: string) => value as EndpointId;
export const toDataCentreId = (value: string) => value as DataCentreId;
export const toTenantId = (value: string) => value as TenantId;
export const toTeamId = (value: string) => value as TeamId;
export const toStepId = (value: string) => value as StepId;
export const toRequestId = (value: string) => value as RequestId;

/** Names one sample of a step; `group` and `sample` count from 0. */
export function toRolloutId(
  step: StepId,
  group: number,
  sample: number,
): RolloutId {
  return `${step}/${group}/${sample}` as RolloutId;
}
