import test from 'ava';
import { createVirtualClock } from '../testing/index.js';
import { Counters } from './counters.js';
import { DecisionLog } from './decisionLog.js';
import { renderMetrics } from './metricsPage.js';

function createLog(isFull = () => false) {
  const clock = createVirtualClock();
  const lines: string[] = [];
  const sink = {
    write: (text: string) => {
      lines.push(text.trimEnd());
      return !isFull();
    },
  };
  return { clock, lines, log: new DecisionLog(sink, clock) };
}

test('an event is written as one line of key=value pairs', (t) => {
  const { log, lines } = createLog();
  log.info('job_accepted', {
    job: 'a1',
    reason: 'two words',
    text: 'line\nbreak',
    none: undefined,
  });
  t.deepEqual(lines, [
    'time=1970-01-01T00:00:00.000Z level=info event=job_accepted job=a1 reason="two words" text="line\\nbreak"',
  ]);
});

test('lines above the rate limit are dropped and their number is reported', async (t) => {
  const { log, lines, clock } = createLog();
  for (let index = 0; index < 10_000; index++) log.info('flood', { index });
  t.is(lines.length, 400);
  t.is(log.droppedLines, 9_600);
  await clock.advance(1_000);
  log.info('after', {});
  t.regex(lines.at(-1) ?? '', /event=after left_out=9600$/);
});

test('task events leave part of the burst for job events', (t) => {
  const { log, lines } = createLog();
  for (let index = 0; index < 1_000; index++) log.detail('task_start', { index });
  t.is(lines.length, 250);
  log.info('job_ended', { job: 'a1' });
  t.regex(lines.at(-1) ?? '', /event=job_ended/);
});

test('a full sink is not written to until it has drained', (t) => {
  let isFull = true;
  const { log, lines } = createLog(() => isFull);
  log.info('first');
  log.info('second');
  t.is(lines.length, 1);
  isFull = false;
  log.handleSinkDrain();
  log.info('third');
  t.regex(lines.at(-1) ?? '', /event=third left_out=1$/);
});

test('the metrics page contains counters by reason and latency histograms', async (t) => {
  const counters = new Counters();
  counters.count('refusals', 'store_away');
  counters.count('refusals', 'store_away');
  counters.observe('submit_ms', 7);
  counters.observe('submit_ms', 70_000);
  const page = await renderMetrics(counters);
  t.regex(page, /burdocknotch_refusals_total\{reason="store_away"\} 2/);
  t.regex(page, /burdocknotch_submit_ms_bucket\{le="10"\} 1/);
  t.regex(page, /burdocknotch_submit_ms_bucket\{le="\+Inf"\} 2/);
  t.regex(page, /burdocknotch_submit_ms_count 2/);
});

// Guards against a source that goes on showing its last value after it was removed.
test('the metrics page reads gauges when it is rendered, until their source is removed', async (t) => {
  const counters = new Counters();
  let value = 1;
  const labels = { account: 'a"b', service: 'motions' };
  const remove = counters.addGauges(() => [{ name: 'waiting_tasks', labels, value }]);
  const series = 'burdocknotch_waiting_tasks{account="a\\"b",service="motions"}';
  t.true((await renderMetrics(counters)).includes(`${series} 1`));
  value = 2;
  t.true((await renderMetrics(counters)).includes(`${series} 2`));
  remove();
  t.false((await renderMetrics(counters)).includes('waiting_tasks'));
});
