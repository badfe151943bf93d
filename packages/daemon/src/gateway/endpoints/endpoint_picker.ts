/** Picks an endpoint for one attempt, by what this VM has seen of each. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import {chooseEndpoint} from '@radishyoke/core/routing/endpoint_choice';
import type {EndpointView} from './endpoint_view.js';

export interface PickerDeps {
  readonly roster: EndpointRoster;
  readonly view: EndpointView;
  readonly dataCentre: string;
}

/** The least loaded endpoint of `service` that was not tried; where all were, the best of them. */
export function pickEndpoint(
  {roster, view, dataCentre}: PickerDeps,
  service: string,
  tried: ReadonlySet<string>,
): EndpointEntry | undefined {
  const nowMs = performance.now();
  const usable = roster.listUsable(service, nowMs);
  const choices = usable.map(entry => view.describe(entry, nowMs));
  const random = Math.random();
  const choice =
    chooseEndpoint(choices, tried, dataCentre, random, nowMs) ??
    chooseEndpoint(choices, new Set(), dataCentre, random, nowMs);
  return usable.find(({id}) => id === choice?.id);
}
