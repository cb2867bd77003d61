import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import {
  diffInventory,
  formatDifference,
  inventorySchema,
  readInventory,
  toSnapshot,
} from './index.js';

const POOL =
  '{ id: p, minAvailable: 1, maxAway: 1, maxAwayPerRack: 1, maxAwayPerZone: 1, isSpare: false, mayBorrow: true }';
const vm = (id: string, port = 1) =>
  `{ id: ${id}, zone: z, rack: r, pool: p, cores: 1, memoryMib: 1, accelerators: 0, executor: { host: 10.0.0.1, port: ${port}, slots: 8, connections: 64 } }`;

async function read(text: string) {
  const folder = await mkdtemp(join(tmpdir(), 'inventory-'));
  const file = join(folder, 'inventory.yaml');
  await writeFile(file, text);
  const result = await readInventory(file);
  await rm(folder, { recursive: true });
  return result;
}

const cases = [
  {
    title: 'a VM that is listed twice',
    text: `pools:\n  - ${POOL}\nvms:\n  - ${vm('a', 1)}\n  - ${vm('a', 2)}\n`,
    line: 5,
    message: /second vm with id "a".*line 4/,
  },
  {
    title: 'an executor address that is used twice',
    text: `pools:\n  - ${POOL}\nvms:\n  - ${vm('a', 1)}\n  - ${vm('b', 1)}\n`,
    line: 5,
    message: /10\.0\.0\.1:1/,
  },
  {
    title: 'a rule that the pool cannot meet',
    text: `vms:\n  - ${vm('a')}\npools:\n  - ${POOL.replace('minAvailable: 1', 'minAvailable: 9')}\n`,
    line: 4,
    message: /minAvailable is 9, the pool has 1/,
  },
  {
    title: 'a reference to a missing pool',
    text: `vms:\n  - ${vm('a')}\n`,
    line: 2,
    message: /pool p does not exist/,
  },
];

// Accepting such an inventory would violate a guarantee of the system once it is in force.
for (const { title, text, line, message } of cases) {
  test(`${title} is reported with its line`, async (t) => {
    const result = await read(text);
    t.true(result.isErr);
    if (result.isOk) return;
    const found = result.error.problems.find((problem) => message.test(problem.message));
    t.is(found?.line, line, result.error.message);
  });
}

test('a difference lists removed, changed and added entities, and is empty for equal inventories', (t) => {
  const team = { id: 'a', weight: 1, maxQueued: 1, maxRunning: 1, maxUrgent: 1, maxJobs: 1 };
  const before = toSnapshot(inventorySchema.parse({ teams: [team, { ...team, id: 'b' }] }));
  const after = inventorySchema.parse({
    teams: [
      { ...team, weight: 2 },
      { ...team, id: 'c' },
    ],
  });
  t.deepEqual(diffInventory(before, after).map(formatDifference), [
    '- team b',
    '~ team a (weight: 1 -> 2)',
    '+ team c',
  ]);
  t.deepEqual(diffInventory(before, inventorySchema.parse({ teams: before.entities.team })), []);
});
