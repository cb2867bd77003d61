import { readFile } from 'node:fs/promises';
import test from 'ava';
import { compiledPath } from '../testbed/index.js';
import { REFERENCE_PATH, renderReferencePage } from './referencePage.js';

// Guards against a settings key that was added or changed without its documentation.
test('docs/configuration.md is what the schemas give', async (t) => {
  const page = await readFile(compiledPath(`../${REFERENCE_PATH}`), 'utf8');
  t.is(page, renderReferencePage(), 'run npm run docs');
});
