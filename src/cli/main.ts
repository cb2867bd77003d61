#!/usr/bin/env node
import { runCli } from './runCli.js';

process.exitCode = await runCli(process.argv.slice(2), {
  print: (line) => {
    process.stdout.write(`${line}\n`);
  },
  printError: (line) => {
    process.stderr.write(`${line}\n`);
  },
});
