import test from 'ava';
import { LoadPacing, loadPacingDefaults } from './index.js';

const { maxListPauseMs, maxRoundPauseMs } = loadPacingDefaults;

const cases: [title: string, shares: number[], pressure: number][] = [
  ['an idle process', [0], 0],
  ['a process at a quarter of its time', new Array<number>(20).fill(0.25), 0],
  ['a process that is always busy', new Array<number>(20).fill(1), 1],
  ['a process that was busy for a tenth of a second', [1], 0.2],
  ['a process that is idle again', [...new Array<number>(20).fill(1), 0, 0, 0, 0, 0], 0],
];

for (const [title, shares, pressure] of cases) {
  // Guards against pauses that delay the work of a process with time to spare.
  test(`pauses of ${title}`, (t) => {
    const left = [...shares];
    const pacing = new LoadPacing({ busyShare: () => left.shift() ?? 0 });
    shares.forEach(() => {
      pacing.update();
    });
    t.true(Math.abs(pacing.listPauseMs - pressure * maxListPauseMs) < 0.01);
    t.true(Math.abs(pacing.roundPauseMs - pressure * maxRoundPauseMs) < 0.01);
  });
}

test('nothing is paused where the time of the process is not measured', (t) => {
  const pacing = new LoadPacing({});
  pacing.update();
  t.is(pacing.listPauseMs + pacing.roundPauseMs, 0);
});
