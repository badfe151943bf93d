/** `radishyoke completion`: prints a shell script that completes commands and options. */

import type {CAC} from 'cac';
import type {CliIo} from './cli_io.js';
import {EXIT_CODES, ExitCode} from './exit_code.js';
import {UsageError} from './usage_error.js';

/** The subcommands that may follow the name of a command. */
export type Subcommands = Readonly<Record<string, readonly string[]>>;

/** Prints the completion script for `shell`. */
export function runCompletion(
  io: CliIo,
  cli: CAC,
  shell: string,
  subcommands: Subcommands,
): ExitCode {
  if (shell !== 'bash') throw new UsageError('only bash is supported');
  io.writeOut(renderBash(cli, subcommands));
  return EXIT_CODES.ok;
}

function renderBash(cli: CAC, subcommands: Subcommands): string {
  const cases = cli.commands.map(({name, options}) => {
    const flags = options.flatMap(option => option.names.map(toFlag));
    const words = [...(subcommands[name] ?? []), ...flags, '--help'];
    return `    ${name}) words="${words.join(' ')}" ;;`;
  });
  const names = cli.commands.map(({name}) => name);
  return [
    '_radishyoke() {',
    '  local words current="${COMP_WORDS[COMP_CWORD]}"',
    '  case "${COMP_WORDS[1]}" in',
    ...cases,
    '  esac',
    `  if [ "$COMP_CWORD" -eq 1 ]; then words="${names.join(' ')} --help --version"; fi`,
    '  COMPREPLY=($(compgen -f -W "$words" -- "$current"))',
    '}',
    'complete -F _radishyoke radishyoke',
  ].join('\n');
}

function toFlag(name: string): string {
  const kebab = name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
  return `--${kebab}`;
}
