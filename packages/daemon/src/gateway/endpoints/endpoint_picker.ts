/** Picks an endpoint for one attempt, based on what this VM observed of each. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import {chooseEndpoint} from '@radishyoke/core/routing/endpoint_choice';
import type {EndpointView} from './endpoint_view.js';

export interface PickerDeps {
  readonly roster: EndpointRoster;
  readonly view: EndpointView;
  readonly dataCentre: string;
}

/** Returns the best endpoint of `service` that was not tried yet, or the best of all if every one was tried. */
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
