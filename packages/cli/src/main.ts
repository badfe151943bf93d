#!/usr/bin/env node
/** The `radishyoke` command. */

import {runCli} from './cli.js';
import {createProcessIo} from './cli_io.js';

// The exit code is set rather than forced, so that what is written to a pipe
// is not cut off.
process.exitCode = await runCli(process.argv.slice(2), createProcessIo());
