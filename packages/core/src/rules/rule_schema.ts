/** Specifies the sections and keys of the operators' configuration. */

import {ERROR_ANSWERS, ErrorKind} from '@radishyoke/shared/error_kind';
import {
  choiceType,
  durationType,
  integerType,
  listType,
  nameType,
  optional,
  patternType,
  required,
  switchType,
  withDefault,
} from './key_spec.js';
import type {WorkClass} from '../scheduling/scheduler.js';

/** Maximum number of rules in a rule set. */
export const MAX_RULES = 1024;
/** Maximum number of distinct header names in the conditions of a rule set. */
export const MAX_HEADER_NAMES = 32;
/** Prefix of the keys `when.header.NAME`. */
export const HEADER_KEY_PREFIX = 'when.header.';

const MAX_LIST_ITEMS = 256;

const WORK_CLASSES: readonly WorkClass[] = ['interactive', 'rollout'];

// A rule refuses a request before anything is sent, so only error kinds that
// state this are allowed. From any other kind the caller would conclude that
// the request may have run.
const REFUSE_KINDS = (Object.keys(ERROR_ANSWERS) as ErrorKind[]).filter(
  kind => ERROR_ANSWERS[kind].ran === 'no',
);

const namesType = listType(nameType(), MAX_LIST_ITEMS);

/** Section `[config]`. */
export const CONFIG_SPEC = {
  team: required(nameType(), 'Team that owns this configuration.'),
};

/** Sections `[group.NAME]`. */
export const GROUP_SPEC = {
  endpoints: required(namesType, 'Endpoints of the group, by id.'),
};

/** Sections `[rule.NAME]`, except for the header conditions. */
export const RULE_SPEC = {
  'when.tenant': optional(namesType, 'Tenant of the request.'),
  'when.class': optional(
    listType(choiceType(WORK_CLASSES), 2),
    'Class of the request, where it states one; steps are of class rollout.',
  ),
  'when.model': optional(
    listType(
      patternType(
        /^[^\s,]{1,200}$/,
        '1 to 200 characters without blanks',
        'model name',
      ),
      MAX_LIST_ITEMS,
    ),
    'Model that the request or step names.',
  ),
  'when.method': optional(
    listType(
      patternType(/^[A-Z]{1,20}$/, 'an HTTP method in capitals', 'HTTP method'),
      16,
    ),
    'HTTP method.',
  ),
  'when.path_prefix': optional(
    listType(
      patternType(
        /^\/[^\s?#,]{0,499}$/,
        'a path that begins with "/"',
        'path of at most 500 characters',
      ),
      MAX_LIST_ITEMS,
    ),
    'First segments of the path.',
  ),
  'when.data_centre': optional(
    namesType,
    'Data centre of the VM that took the request.',
  ),
  'then.group': optional(
    nameType(),
    'Endpoints that the request goes to; required unless the rule refuses.',
  ),
  'then.class': optional(
    choiceType(WORK_CLASSES),
    'Class of the work; without it the one that the request states, else rollout for steps and interactive for others.',
  ),
  'then.max_attempts': withDefault(
    integerType(1, 10),
    '3',
    'Most attempts, hedges included.',
  ),
  'then.timeout': withDefault(
    durationType('10ms', '1h'),
    '30s',
    'Time until the answer is worth nothing, from acceptance.',
  ),
  'then.max_staleness': optional(
    integerType(0, 1000),
    "Upper bound in weight versions on a step's own staleness bound.",
  ),
  'then.priority': withDefault(
    integerType(-100, 100),
    '0',
    'Higher goes first within tenant and class.',
  ),
  'then.max_queue': withDefault(
    integerType(0, 100_000),
    '1024',
    'Most works of one tenant that wait on one VM.',
  ),
  'then.max_in_flight': optional(
    integerType(1, 100_000),
    'Most works of one tenant that run at once from one VM; no bound without it.',
  ),
  'then.hedge': withDefault(
    switchType('on', 'off'),
    'off',
    'Whether a late attempt may run a second time beside the first.',
  ),
  'then.refuse': optional(
    choiceType(REFUSE_KINDS),
    'Refuse with this error kind; no other `then` key may stand beside it.',
  ),
  'then.idempotent': optional(
    switchType('yes', 'no'),
    'Whether requests may be repeated; without it the method decides.',
  ),
};

/** Keys `when.header.NAME`. */
export const HEADER_CONDITION_SPEC = optional(
  listType(
    patternType(
      /^[^\s,][^,]{0,499}$/,
      'a header value without commas, or * for any',
      'header value or *',
    ),
    MAX_LIST_ITEMS,
  ),
  'Value of the header NAME (lower case); `*` holds for any value.',
);
