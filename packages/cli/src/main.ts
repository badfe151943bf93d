#!/usr/bin/env node
/** The `radishyoke` command. */

import {captureSignals} from '@radishyoke/daemon/process_signals';

// Only a VM drains; any other command is interrupted as usual.
if (process.argv[2] === 'serve') captureSignals();
const {runCli} = await import('./cli.js');
const {createProcessIo} = await import('./cli_io.js');

// The exit code is set rather than forced, so that what is written to a pipe
// is not cut off.
process.exitCode = await runCli(process.argv.slice(2), createProcessIo());
