import { readFile } from 'node:fs/promises';
import test from 'ava';
import { compiledPath } from '../testbed/index.js';
import { REFERENCE_PATH, renderReferencePage } from './referencePage.js';

// Guards against a change of the settings schemas without regenerating the reference page.
test('docs/configuration.md matches the page generated from the schemas', async (t) => {
  const page = await readFile(compiledPath(`../${REFERENCE_PATH}`), 'utf8');
  t.is(page, renderReferencePage(), 'run npm run docs');
});
