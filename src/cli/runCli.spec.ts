import test from 'ava';
import { commands, ExitCode, runCli } from './index.js';

async function run(...argv: string[]) {
  const output: string[] = [];
  const errors: string[] = [];
  const exitCode = await runCli(argv, {
    print: (line) => output.push(line),
    printError: (line) => errors.push(line),
  });
  return { exitCode, output: output.join('\n'), errors: errors.join('\n') };
}

const UNREACHABLE_URL = 'http://127.0.0.1:1';

const cases = [
  { title: 'no command', argv: [], exitCode: ExitCode.Usage, text: /Commands:/ },
  {
    title: 'an unknown command',
    argv: ['nope'],
    exitCode: ExitCode.Usage,
    text: /unknown command "nope"/,
  },
  {
    title: 'apply without a file',
    argv: ['apply'],
    exitCode: ExitCode.Usage,
    text: /needs a FILE/,
  },
  {
    title: 'check of a file that does not exist',
    argv: ['check', 'missing.yaml'],
    exitCode: ExitCode.Usage,
    text: /missing\.yaml: cannot be read/,
  },
  {
    title: 'a command whose operator listener cannot be reached',
    argv: ['status', '--operator', UNREACHABLE_URL],
    exitCode: ExitCode.NotFound,
    text: /no answer from the operator listener/,
  },
  {
    title: 'explain without a queue',
    argv: ['explain', '127.0.0.1', 'package.json'],
    exitCode: ExitCode.Usage,
    text: /--host and --path/,
  },
  {
    title: 'explain with a job that does not exist',
    argv: ['explain', '127.0.0.1:1', 'missing.json', '--host', 'h', '--path', '/p/'],
    exitCode: ExitCode.Usage,
    text: /missing\.json/,
  },
  {
    title: 'explain with an unknown format',
    argv: ['explain', '127.0.0.1:1', 'x', '--host', 'h', '--path', '/p/', '--output', 'xml'],
    exitCode: ExitCode.Usage,
    text: /expected table or json/,
  },
  {
    title: 'explain of a node that cannot be reached',
    argv: ['explain', '127.0.0.1:1', 'package.json', '--host', 'h', '--path', '/p/'],
    exitCode: ExitCode.NotFound,
    text: /no answer from the node at 127\.0\.0\.1:1/,
  },
  {
    title: 'an unknown maintenance action',
    argv: ['maintenance', 'stop', '--operator', UNREACHABLE_URL],
    exitCode: ExitCode.Usage,
    text: /expected one of list, plan, start, pause, resume/,
  },
];

// Scripts rely on the exit code to detect a failed command.
for (const { title, argv, exitCode, text } of cases) {
  test(`${title} ends with exit code ${exitCode}`, async (t) => {
    const result = await run(...argv);
    t.is(result.exitCode, exitCode);
    t.regex(result.output + result.errors, text);
  });
}

for (const id of commands.keys()) {
  test(`${id} --help shows usage and examples`, async (t) => {
    const { exitCode, output } = await run(id, '--help');
    t.is(exitCode, ExitCode.Success);
    t.regex(output, new RegExp(`burdocknotch ${id}`));
    t.regex(output, /Examples:/);
  });
}
