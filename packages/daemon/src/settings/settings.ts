/**
 * Reads the settings of one process from an INI file. All of them are validated
 * before any port opens, since a wrong value would otherwise cause a failure
 * later and elsewhere.
 */

import {readFile} from 'node:fs/promises';
import type {ConfigProblem} from '@radishyoke/core/rules/config_problem';
import {IniSection, readIni} from '@radishyoke/core/rules/ini_text';
import {
  readSection,
  SectionSpec,
  SectionValues,
} from '@radishyoke/core/rules/key_spec';
import {
  DataCentreId,
  TeamId,
  TenantId,
  toDataCentreId,
  toTeamId,
  toTenantId,
  toVmId,
  VmId,
} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {
  LOG_LEVELS,
  ROLES,
  SETTINGS_SPEC,
  TENANT_SPEC,
  TOKEN_SPEC,
} from './settings_schema.js';

export type LogLevel = (typeof LOG_LEVELS)[number];
export type Role = (typeof ROLES)[number];

/** Limits on what callers and peers may send. */
export interface LimitSettings {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly maxPromptBytes: number;
  readonly maxGroups: number;
  readonly maxSamplesPerGroup: number;
  readonly maxSamples: number;
  readonly maxOpenSteps: number;
  readonly maxConnections: number;
  readonly maxPeerMessageBytes: number;
  readonly slowReaderTimeoutMs: number;
  readonly slowWriterTimeoutMs: number;
  readonly maxBodyMs: number;
  readonly maxHeldBytes: number;
  readonly maxRequestsAhead: number;
}

/** A credential for the administration API. */
export interface TokenSettings {
  /** The part of the token before the dot. */
  readonly name: string;
  readonly team: TeamId;
  readonly roles: readonly Role[];
  readonly hash: string;
  readonly expiresAtMs: number;
}

/** Addresses are `ip:port`. */
export interface Settings {
  readonly vm: {
    readonly id: VmId;
    readonly dataCentre: DataCentreId;
    readonly callerAddress: string;
    readonly peerAddress: string;
    readonly adminAddress: string;
  };
  readonly platform: {
    readonly log: string;
    readonly vmList: string;
    readonly weightStore: string;
    /** Appends per second that the log permits to all VMs together. */
    readonly logAppendsPerSecond: number;
    readonly logRetentionMs: number;
    readonly weightFetchesPerSecond: number;
  };
  readonly peers: {
    readonly seeds: readonly string[];
    readonly sharedKey: string;
  };
  readonly limits: LimitSettings;
  readonly leases: {
    readonly sessionTtlMs: number;
    readonly sessionRenewalMs: number;
  };
  readonly config: {readonly notReadyAfterMs: number};
  readonly admin: {readonly platformTeam?: TeamId};
  readonly shutdown: {readonly noticeMs: number; readonly maxDrainMs: number};
  readonly logging: {readonly level: LogLevel};
  readonly tenants: ReadonlyMap<TenantId, TeamId>;
  readonly tokens: readonly TokenSettings[];
}

type Spec = typeof SETTINGS_SPEC;
type SettingsValues = {
  readonly [Section in keyof Spec]: SectionValues<Spec[Section]>;
};

const TOKEN_SECTION = /^token\.([A-Za-z0-9][A-Za-z0-9_-]{0,99})$/;

/** Reads and validates the file at `path`. */
export async function loadSettings(
  path: string,
): Promise<Result<Settings, readonly ConfigProblem[]>> {
  try {
    return parseSettings(await readFile(path, 'utf8'), path);
  } catch (err) {
    const found = err instanceof Error ? err.message : String(err);
    const expected = 'a readable file';
    return fail([{file: path, line: 0, section: '', key: '', expected, found}]);
  }
}

/** Parses and validates `text`; problems name `file` as its source. */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, readonly ConfigProblem[]> {
  const ini = readIni(text, file);
  return ini.ok ? new SettingsReader(file, ini.value).read() : ini;
}

class SettingsReader {
  private readonly problems: ConfigProblem[] = [];

  constructor(
    private readonly file: string,
    private readonly sections: readonly IniSection[],
  ) {}

  read(): Result<Settings, readonly ConfigProblem[]> {
    const values = this.readKnownSections();
    const tenants = this.readTenants();
    const tokens = this.sections.flatMap(section => this.readToken(section));
    this.reportUnknownSections();
    this.checkCombinations(values);
    if (this.problems.length > 0) return fail(this.problems);
    return succeed(toSettings(values, tenants, tokens));
  }

  private readKnownSections(): SettingsValues {
    const values: Record<string, unknown> = {};
    for (const [name, spec] of Object.entries(SETTINGS_SPEC)) {
      values[name] = this.readKeys(this.findSection(name), spec);
    }
    return values as SettingsValues;
  }

  private readTenants(): ReadonlyMap<TenantId, TeamId> {
    const section = this.findSection('tenants');
    const spec: Record<string, typeof TENANT_SPEC> = {};
    for (const {key} of section.entries) spec[key] = TENANT_SPEC;
    const teams = Object.entries(this.readKeys(section, spec));
    if (teams.length === 0) {
      this.addProblem(section, '', 'at least one tenant', 'none');
    }
    for (const [tenant] of teams) {
      if (TENANT_SPEC.type.schema.safeParse(tenant).success) continue;
      this.addProblem(section, tenant, TENANT_SPEC.type.expected, tenant);
    }
    return new Map(
      teams.map(([tenant, team]) => [toTenantId(tenant), toTeamId(team)]),
    );
  }

  private readToken(section: IniSection): readonly TokenSettings[] {
    const name = TOKEN_SECTION.exec(section.name)?.[1];
    if (!name) return [];
    const {team, roles, hash, expires} = this.readKeys(section, TOKEN_SPEC);
    const expiresAtMs = Date.parse(expires);
    return [{name, team: toTeamId(team), roles, hash, expiresAtMs}];
  }

  private reportUnknownSections(): void {
    const knownNames = [...Object.keys(SETTINGS_SPEC), 'tenants'];
    for (const section of this.sections) {
      if (knownNames.includes(section.name)) continue;
      if (TOKEN_SECTION.test(section.name)) continue;
      const expected = `one of [${knownNames.join('], [')}], [token.NAME]`;
      this.addProblem(section, '', expected, 'another section');
    }
  }

  private checkCombinations({vm, leases}: SettingsValues): void {
    // If a session is renewed too close to its expiry, one slow append lets it
    // expire, and every step of the VM moves to another owner.
    if (leases.session_renewal * 2 > leases.session_ttl) {
      this.addProblem(
        this.findSection('leases'),
        'session_renewal',
        'at most half of session_ttl',
        `${leases.session_renewal}ms of ${leases.session_ttl}ms`,
      );
    }
    const listeners = [vm.caller_address, vm.peer_address, vm.admin_address];
    const fixedAddresses = listeners.filter(
      address => address && !address.endsWith(':0'),
    );
    if (new Set(fixedAddresses).size < fixedAddresses.length) {
      const expected = 'another address for each listener';
      this.addProblem(
        this.findSection('vm'),
        '',
        expected,
        'the same address twice',
      );
    }
  }

  private readKeys<S extends SectionSpec>(
    section: IniSection,
    spec: S,
  ): SectionValues<S> {
    return readSection(section, spec, this.file, this.problems);
  }

  /** Finds a section; returns an empty one if the file does not contain it. */
  private findSection(name: string): IniSection {
    const section = this.sections.find(s => s.name === name);
    return section ?? {name, line: 0, entries: []};
  }

  private addProblem(
    section: IniSection,
    key: string,
    expected: string,
    found: string,
  ): void {
    const {file} = this;
    const entry = section.entries.find(e => e.key === key);
    const line = entry?.line ?? section.line;
    this.problems.push({
      file,
      line,
      section: section.name,
      key,
      expected,
      found,
    });
  }
}

function toSettings(
  values: SettingsValues,
  tenants: ReadonlyMap<TenantId, TeamId>,
  tokens: readonly TokenSettings[],
): Settings {
  const {vm, platform, peers, leases, config, admin, shutdown, logging} =
    values;
  return {
    vm: {
      id: toVmId(vm.id),
      dataCentre: toDataCentreId(vm.data_centre),
      callerAddress: vm.caller_address,
      peerAddress: vm.peer_address,
      adminAddress: vm.admin_address,
    },
    platform: {
      log: platform.log,
      vmList: platform.vm_list,
      weightStore: platform.weight_store,
      logAppendsPerSecond: platform.log_appends,
      logRetentionMs: platform.log_retention,
      weightFetchesPerSecond: platform.weight_fetches,
    },
    peers: {seeds: peers.seeds ?? [], sharedKey: peers.shared_key},
    limits: toLimits(values.limits),
    leases: {
      sessionTtlMs: leases.session_ttl,
      sessionRenewalMs: leases.session_renewal,
    },
    config: {notReadyAfterMs: config.not_ready_after},
    admin: {
      platformTeam:
        admin.platform_team === undefined
          ? undefined
          : toTeamId(admin.platform_team),
    },
    shutdown: {noticeMs: shutdown.notice, maxDrainMs: shutdown.max_drain},
    logging,
    tenants,
    tokens,
  };
}

function toLimits(limits: SettingsValues['limits']): LimitSettings {
  return {
    maxHeaderBytes: limits.max_header,
    maxBodyBytes: limits.max_body,
    maxPromptBytes: limits.max_prompt,
    maxGroups: limits.max_groups,
    maxSamplesPerGroup: limits.max_samples_per_group,
    maxSamples: limits.max_samples,
    maxOpenSteps: limits.max_open_steps,
    maxConnections: limits.max_connections,
    maxPeerMessageBytes: limits.max_peer_message,
    slowReaderTimeoutMs: limits.slow_reader_timeout,
    slowWriterTimeoutMs: limits.slow_writer_timeout,
    maxBodyMs: limits.max_body_time,
    maxHeldBytes: limits.max_held,
    maxRequestsAhead: limits.max_requests_ahead,
  };
}
