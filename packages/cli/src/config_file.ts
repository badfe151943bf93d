/** Reads and validates a file of either process settings or operators' rules. */

import {readFile} from 'node:fs/promises';
import type {ConfigProblem} from '@radishyoke/core/rules/config_problem';
import {IniSection, readIni} from '@radishyoke/core/rules/ini_text';
import type {RuleSet} from '@radishyoke/core/rules/rule';
import {parseRuleText} from '@radishyoke/core/rules/rule_text';
import {parseSettings, Settings} from '@radishyoke/daemon/settings/settings';
import {fail, Result, succeed} from '@radishyoke/shared/result';

export type ConfigFile =
  | {readonly kind: 'settings'; readonly settings: Settings}
  | {readonly kind: 'rules'; readonly ruleSet: RuleSet; readonly text: string};

type Problems = readonly ConfigProblem[];

/** Reads the file at `path`, detects its kind and validates it. */
export async function readConfigFile(
  path: string,
): Promise<Result<ConfigFile, Problems>> {
  const text = await readText(path);
  if (!text.ok) return text;
  const ini = readIni(text.value, path);
  if (!ini.ok) return ini;
  switch (detectKind(ini.value)) {
    case 'rules': {
      const rules = parseRuleText(text.value, path);
      if (!rules.ok) return rules;
      return succeed({kind: 'rules', ruleSet: rules.value, text: text.value});
    }
    case 'settings': {
      const settings = parseSettings(text.value, path);
      if (!settings.ok) return settings;
      return succeed({kind: 'settings', settings: settings.value});
    }
    default:
      return failFile(path, 'a section [rule.NAME] or [vm]', 'neither');
  }
}

/** Reads and validates the rules file at `path`; a settings file is rejected. */
export async function readRulesFile(
  path: string,
): Promise<
  Result<{readonly ruleSet: RuleSet; readonly text: string}, Problems>
> {
  const text = await readText(path);
  if (!text.ok) return text;
  const rules = parseRuleText(text.value, path);
  if (!rules.ok) return rules;
  return succeed({ruleSet: rules.value, text: text.value});
}

function detectKind(
  sections: readonly IniSection[],
): 'rules' | 'settings' | undefined {
  const hasSection = (pattern: RegExp) =>
    sections.some(s => pattern.test(s.name));
  if (hasSection(/^(rule|group)\./)) return 'rules';
  if (hasSection(/^(vm|platform|peers|tenants|limits|leases)$/))
    return 'settings';
  return undefined;
}

async function readText(path: string): Promise<Result<string, Problems>> {
  try {
    return succeed(await readFile(path, 'utf8'));
  } catch (err) {
    const found = err instanceof Error ? err.message : String(err);
    return failFile(path, 'a readable file', found);
  }
}

function failFile(
  file: string,
  expected: string,
  found: string,
): Result<never, Problems> {
  return fail([{file, line: 0, section: '', key: '', expected, found}]);
}
