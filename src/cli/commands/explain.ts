import { readFile } from 'node:fs/promises';
import { request } from 'undici';
import { ExitCode, messageOf } from '../../errors/index.js';
import {
  ExplainOutcome,
  type HolderExplanation,
  type JobExplanation,
} from '../../explain/index.js';
import { renderTable } from '../table.js';
import {
  CliError,
  type CommandDefinition,
  type CommandFlags,
  type CommandOutput,
} from '../types.js';

/** Port of a node's metrics listener, used if the address has none. */
const DEFAULT_PORT = 9464;
/** Timeout for the headers and for the body of the response, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 10_000;

const EXIT_CODES: Readonly<Record<ExplainOutcome, ExitCode>> = {
  [ExplainOutcome.Placed]: ExitCode.Success,
  [ExplainOutcome.Waits]: ExitCode.Success,
  [ExplainOutcome.Refused]: ExitCode.Refused,
  [ExplainOutcome.Unauthorized]: ExitCode.Refused,
  [ExplainOutcome.NoQueue]: ExitCode.NotFound,
  [ExplainOutcome.Invalid]: ExitCode.Usage,
  [ExplainOutcome.Unknown]: ExitCode.NotFound,
};

/** Asks a node of the users' platform where a job would go now and why, without submitting it. */
export const explainCommand: CommandDefinition = {
  id: 'explain',
  summary: 'say where a job would go now and why, without submitting it',
  usage:
    'burdocknotch explain NODE JOB --host HOST --path PATH [--key-file FILE] [--output table|json]',
  examples: [
    'burdocknotch explain 10.0.0.4 job.json --host league.example --path /draws/',
    'burdocknotch explain 10.0.0.4:9464 job.json --host league.example --path /draws/ --key-file key --output json',
  ],
  async run({ args, flags }, output) {
    const [node, file] = args;
    const { host, path } = flags;
    if (node === undefined || file === undefined || host === undefined || path === undefined) {
      const message = 'explain needs a NODE, a file with the JOB, --host and --path';
      throw new CliError('usage', message, ExitCode.Usage);
    }
    const format = flags.output ?? (flags.json ? 'json' : 'table');
    if (format !== 'table' && format !== 'json') {
      throw new CliError('usage', '--output: expected table or json', ExitCode.Usage);
    }
    const body = { host, path, job: await readJob(file), ...(await readKey(flags)) };
    const explanation = await ask(node, body);
    if (format === 'json') output.print(JSON.stringify(explanation));
    else printExplanation(explanation, output);
    return EXIT_CODES[explanation.outcome];
  },
};

async function readJob(file: string): Promise<unknown> {
  try {
    return JSON.parse(await readFile(file, 'utf8')) as unknown;
  } catch (err) {
    throw new CliError('invalid', `${file}: ${messageOf(err)}`, ExitCode.Usage);
  }
}

async function readKey({ keyFile }: CommandFlags): Promise<{ key?: string }> {
  if (keyFile === undefined) return {};
  try {
    return { key: (await readFile(keyFile, 'utf8')).trim() };
  } catch (err) {
    throw new CliError('invalid', `${keyFile}: ${messageOf(err)}`, ExitCode.Usage);
  }
}

async function ask(node: string, body: unknown): Promise<JobExplanation> {
  const address = /:\d+$/.test(node) ? node : `${node}:${DEFAULT_PORT}`;
  let status: number;
  let resBody: unknown;
  try {
    const res = await request(`http://${address}/explain`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      headersTimeout: RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
    });
    status = res.statusCode;
    resBody = await res.body.json();
  } catch (err) {
    const message = `no answer from the node at ${address}: ${messageOf(err)}`;
    throw new CliError('unreachable', message, ExitCode.NotFound);
  }
  if (status === 200) return resBody as JobExplanation;
  const { error = `status ${status}` } = resBody as { error?: string };
  const exitCode = status < 500 ? ExitCode.Usage : ExitCode.Unexpected;
  throw new CliError('invalid', `the node at ${address} cannot explain it: ${error}`, exitCode);
}

function printExplanation(explanation: JobExplanation, output: CommandOutput): void {
  const { outcome, node, queue, service, holder, unknown, refusal, job } = explanation;
  const account = explanation.account ?? (explanation.isPublic ? 'public queue' : undefined);
  const rows: [string, unknown][] = [
    ['outcome', outcome],
    ['refusal', refusal?.reason],
    ['retry after', ms(refusal?.retryAfterMs)],
    ['problem', explanation.problem ?? explanation.holderProblem],
    ['account', account],
    ['queue', queue],
    ['service', service],
    ['configuration', explanation.configVersion],
    ['configuration age', ms(explanation.configAgeMs)],
    ['asked node', node],
    ['holder', holder],
    ['holder call', ms(explanation.holderCallMs)],
    ...(job ? holderRows(job) : []),
    ['not known', unknown.join(', ')],
  ];
  const known = rows.filter(([, value]) => value !== undefined && value !== '');
  const print = (lines: readonly object[]) => {
    for (const line of renderTable(lines)) output.print(line);
  };
  print(known.map(([item, value]) => ({ item, value: String(value) })));
  if (!job) return;
  if (job.tasks.length > 0) {
    output.print('');
    print(
      job.tasks.map(({ step, task, worker, waitsFor, reason, rack, waitMs }) => {
        return { step, task, worker, waits_for: waitsFor, reason, rack, wait_ms: waitMs };
      }),
    );
  }
  const leftOut = job.leftOut.flatMap(({ step, reasons }) =>
    Object.entries(reasons).map(([reason, workers]) => ({ step, left_out: reason, workers })),
  );
  if (leftOut.length > 0) {
    output.print('');
    print(leftOut);
  }
  if (job.ahead.length > 0) {
    output.print('');
    print(job.ahead.map(({ job: ahead, ...rest }) => ({ ahead, ...rest })));
  }
}

function holderRows(job: HolderExplanation): [string, unknown][] {
  const { inboxMs, roundMs, oldestWorkerMs } = job.ages;
  const rate = job.isBeyondRate ? 'beyond' : 'within';
  return [
    ['rate of the account', job.isBeyondRate === undefined ? undefined : rate],
    ['steps ahead', `${job.stepsAhead} of ${job.waitingSteps} waiting`],
    ['tasks that start', `${job.startedTasks} of ${job.startableTasks}`],
    ['workers', job.workers],
    ['inbox age', ms(inboxMs)],
    ['placement age', ms(roundMs)],
    ['oldest worker answer', ms(oldestWorkerMs)],
  ];
}

function ms(value: number | undefined): string | undefined {
  return value === undefined ? undefined : `${value} ms`;
}
