import { parseArgs } from 'node:util';
import { runStandin } from '../shared/server.js';
import { createBackend } from './backend.js';

const { values } = parseArgs({
  options: { pool: { type: 'string' }, slots: { type: 'string', default: '8' } },
});

await runStandin(createBackend({ pool: values.pool, slots: Number(values.slots) }));
