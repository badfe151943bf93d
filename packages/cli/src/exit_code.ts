/** Exit codes of `radishyoke`, listed by `--help`. Scripts depend on them. */

export const EXIT_CODES = {
  ok: 0,
  failure: 1,
  usage: 2,
  invalidConfig: 3,
  noRule: 4,
  forbidden: 5,
  unreachable: 6,
  conflict: 7,
  notVerified: 8,
} as const;

export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** The meaning of each code, as `--help` prints it. */
export const EXIT_CODE_TEXTS: Readonly<
  Record<keyof typeof EXIT_CODES, string>
> = {
  ok: 'done',
  failure: 'failed for another reason than those below',
  usage: 'the command line is wrong',
  invalidConfig: 'a settings or rules file is not valid',
  noRule: 'explain: no rule matches the request',
  forbidden: 'the administration API refuses the token',
  unreachable: 'the administration API can not be reached',
  conflict: 'rules publish: another publication came first',
  notVerified: 'audit verify: the records are not what was written',
};
