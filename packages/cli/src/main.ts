#!/usr/bin/env node
/** Entry point of the `radishyoke` command. */

import {captureSignals} from '@radishyoke/daemon/process_signals';

// Only `serve` handles signals, in order to drain; they end other commands as usual.
if (process.argv[2] === 'serve') captureSignals();
const {runCli} = await import('./cli.js');
const {createProcessIo} = await import('./cli_io.js');

// `process.exit` could cut off output that is still being written to a pipe, so
// only the exit code is set.
process.exitCode = await runCli(process.argv.slice(2), createProcessIo());
