import { readFile } from 'node:fs/promises';
import test from 'ava';
import { renderRefusalTable } from './refusalTable.js';

// Guards against a reason that callers can receive but that the documentation does not explain.
test('the callers page documents every refusal reason as it is defined', async (t) => {
  const page = await readFile('docs/callers.md', 'utf8');
  const table = /<!-- refusals:begin [^>]*-->\n\n([^]*?)\n\n<!-- refusals:end -->/.exec(page)?.[1];
  t.is(table, renderRefusalTable());
});
