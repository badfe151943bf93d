/**
 * Parses and validates the operators' configuration. All VMs and the command
 * line share this code, so that they accept the same texts.
 */

import {TeamId, toEndpointId, toTeamId} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {ConfigProblem, formatProblem} from './config_problem.js';
import {IniSection, readIni} from './ini_text.js';
import {readSection, SectionValues} from './key_spec.js';
import type {
  Rule,
  RuleGroup,
  RuleSet,
  RuleAction,
  RuleConditions,
} from './rule.js';
import {
  CONFIG_SPEC,
  GROUP_SPEC,
  HEADER_CONDITION_SPEC,
  HEADER_KEY_PREFIX,
  MAX_HEADER_NAMES,
  MAX_RULES,
  RULE_SPEC,
} from './rule_schema.js';

type RuleValues = SectionValues<typeof RULE_SPEC>;

const SECTION_NAME = /^(group|rule)\.([A-Za-z0-9][A-Za-z0-9._-]{0,99})$/;
const HEADER_NAME = /^[a-z0-9][a-z0-9!#$%&'*+.^_`|~-]{0,99}$/;
const EXPECTED_SECTION = 'one of [config], [group.NAME], [rule.NAME]';

/** Parses `text`; `file` is the name that problems are reported under. */
export function parseRuleText(
  text: string,
  file: string,
): Result<RuleSet, readonly ConfigProblem[]> {
  const ini = readIni(text, file);
  if (!ini.ok) return ini;
  const reader = new RuleSetReader(file);
  for (const section of ini.value) reader.addSection(section);
  return reader.finish();
}

class RuleSetReader {
  private readonly problems: ConfigProblem[] = [];
  private readonly groups: RuleGroup[] = [];
  private readonly rules: Rule[] = [];
  private team: string | undefined;
  private hasConfig = false;

  constructor(private readonly file: string) {}

  addSection(section: IniSection): void {
    if (section.name === 'config') {
      this.hasConfig = true;
      this.team = this.read(section, CONFIG_SPEC).team;
      return;
    }
    const match = SECTION_NAME.exec(section.name);
    if (!match) {
      this.report(section, '', EXPECTED_SECTION, 'another section');
    } else if (match[1] === 'group') {
      this.addGroup(section, match[2]);
    } else {
      this.addRule(section, match[2]);
    }
  }

  finish(): Result<RuleSet, readonly ConfigProblem[]> {
    if (!this.hasConfig) this.reportMissing('config', 'a section [config]');
    if (this.rules.length === 0) {
      this.reportMissing('', 'at least one section [rule.NAME]');
    }
    if (this.rules.length > MAX_RULES) {
      this.reportMissing('', `at most ${MAX_RULES} rules`);
    }
    this.checkHeaderNames();
    if (this.problems.length > 0) return fail(this.problems);
    return succeed({
      team: toTeamId(this.team!),
      groups: this.groups,
      rules: this.rules,
    });
  }

  private addGroup(section: IniSection, name: string): void {
    const {endpoints} = this.read(section, GROUP_SPEC);
    this.groups.push({name, endpoints: (endpoints ?? []).map(toEndpointId)});
  }

  private addRule(section: IniSection, name: string): void {
    const isHeader = (key: string) => key.startsWith(HEADER_KEY_PREFIX);
    const entries = section.entries.filter(entry => !isHeader(entry.key));
    const values = this.read({...section, entries}, RULE_SPEC);
    const headers = this.readHeaders(section);
    const then = this.readAction(section, values);
    this.rules.push({name, when: toConditions(values, headers), then});
  }

  private readHeaders(section: IniSection): RuleConditions['headers'] {
    const headers: Record<string, readonly string[]> = {};
    for (const entry of section.entries) {
      if (!entry.key.startsWith(HEADER_KEY_PREFIX)) continue;
      const name = entry.key.slice(HEADER_KEY_PREFIX.length);
      if (!HEADER_NAME.test(name)) {
        this.report(
          section,
          entry.key,
          'a header name in lower case',
          JSON.stringify(name),
          entry.line,
        );
        continue;
      }
      const values = this.read(
        {...section, entries: [entry]},
        {[entry.key]: HEADER_CONDITION_SPEC},
      )[entry.key];
      if (values) headers[name] = values;
    }
    return headers;
  }

  private readAction(section: IniSection, values: RuleValues): RuleAction {
    if (values['then.refuse'] === undefined) {
      if (!section.entries.some(entry => entry.key === 'then.group')) {
        const expected = 'a group, or then.refuse instead';
        this.report(section, 'then.group', expected, 'nothing');
      }
      return toRouteAction(values);
    }
    for (const entry of section.entries) {
      if (!entry.key.startsWith('then.') || entry.key === 'then.refuse') {
        continue;
      }
      const expected = 'no other then key beside then.refuse';
      this.report(section, entry.key, expected, entry.key, entry.line);
    }
    return {kind: 'refuse', error: values['then.refuse']};
  }

  private checkHeaderNames(): void {
    const names = new Set(this.rules.flatMap(r => Object.keys(r.when.headers)));
    if (names.size <= MAX_HEADER_NAMES) return;
    const expected = `conditions on at most ${MAX_HEADER_NAMES} headers`;
    this.reportMissing('', expected, String(names.size));
  }

  private read<S extends Parameters<typeof readSection>[1]>(
    section: IniSection,
    spec: S,
  ): SectionValues<S> {
    return readSection(section, spec, this.file, this.problems);
  }

  private report(
    section: IniSection,
    key: string,
    expected: string,
    found: string,
    line = section.line,
  ): void {
    const {file} = this;
    this.problems.push({
      file,
      line,
      section: section.name,
      key,
      expected,
      found,
    });
  }

  private reportMissing(
    section: string,
    expected: string,
    found = 'none',
  ): void {
    const {file} = this;
    this.problems.push({file, line: 0, section, key: '', expected, found});
  }
}

function toConditions(
  values: RuleValues,
  headers: RuleConditions['headers'],
): RuleConditions {
  return {
    tenant: values['when.tenant'],
    workClass: values['when.class'],
    model: values['when.model'],
    method: values['when.method'],
    dataCentre: values['when.data_centre'],
    pathPrefix: values['when.path_prefix'],
    headers,
  };
}

function toRouteAction(values: RuleValues): RuleAction {
  return {
    kind: 'route',
    group: values['then.group'] ?? '',
    workClass: values['then.class'],
    maxAttempts: values['then.max_attempts'],
    timeoutMs: values['then.timeout'],
    maxStaleness: values['then.max_staleness'],
    priority: values['then.priority'],
    maxQueue: values['then.max_queue'],
    maxInFlight: values['then.max_in_flight'],
    hedge: values['then.hedge'],
    idempotent: values['then.idempotent'],
  };
}

/**
 * Validates a text that `team` publishes. Returns a readable description of the
 * problems, or undefined if there are none. A text that names another team is
 * rejected, because it would replace that team's rules.
 */
export function checkRuleText(text: string, team: TeamId): string | undefined {
  const parsed = parseRuleText(text, 'rules');
  if (!parsed.ok) return parsed.error.map(formatProblem).join('\n');
  if (parsed.value.team === team) return undefined;
  return `rules: [config] team: expected ${team}, found ${parsed.value.team}`;
}
