import { parseArgs } from 'node:util';
import { runStandin } from '../shared/server.js';
import { createPlatform } from './platform.js';

const { values } = parseArgs({
  options: {
    'list-lag-ms': { type: 'string', default: '1000' },
    'reboot-ms': { type: 'string', default: '1000' },
  },
});

await runStandin(
  createPlatform({
    listLagMs: Number(values['list-lag-ms']),
    rebootMs: Number(values['reboot-ms']),
  }),
);
