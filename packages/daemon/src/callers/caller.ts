/**
 * Functions that the APIs for trainers and apps share: they identify the
 * caller, read the facts for rules and create answer headers.
 */

import type {IncomingMessage} from 'node:http';
import type {RuleFacts} from '@radishyoke/core/rules/rule';
import type {WorkClass} from '@radishyoke/core/scheduling/scheduler';
import {createError} from '@radishyoke/shared/error_kind';
import {HEADERS} from '@radishyoke/shared/header';
import type {DataCentreId, TeamId, TenantId} from '@radishyoke/shared/ids';
import {toTenantId} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import type {Route, RuleRegistry} from '../rule_registry.js';

/** The sender of a request. */
export interface Caller {
  readonly tenant: TenantId;
  readonly team: TeamId;
}

/** Reads a header that may occur only once. */
export function readSingleHeader(
  req: IncomingMessage,
  name: string,
): string | undefined {
  const value = req.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Finds the tenant that the request names, and its team. */
export function identifyCaller(
  req: IncomingMessage,
  rules: RuleRegistry,
): Result<Caller> {
  const name = readSingleHeader(req, HEADERS.tenant);
  if (!name) {
    return fail(
      createError('unauthorized', `header ${HEADERS.tenant} is missing`),
    );
  }
  const tenant = toTenantId(name);
  const team = rules.findTeam(tenant);
  if (!team) return fail(createError('unauthorized', 'unknown tenant'));
  return succeed({tenant, team});
}

/** Returns the facts of `req` that rules are matched against. */
export function readRuleFacts(
  req: IncomingMessage,
  tenant: TenantId,
  dataCentre: DataCentreId,
  extra: {readonly workClass?: WorkClass; readonly model?: string} = {},
): RuleFacts {
  return {
    tenant,
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers: req.headers,
    dataCentre,
    ...extra,
  };
}

/** Creates answer headers that name the rule and the configuration version. */
export function createRouteHeaders(
  route: Route,
): Readonly<Record<string, string>> {
  return {
    [HEADERS.rule]: route.rule,
    [HEADERS.configVersion]: String(route.configVersion),
  };
}
