import { writeFile } from 'node:fs/promises';
import { compiledPath } from '../testbed/index.js';
import { REFERENCE_PATH, renderReferencePage } from './referencePage.js';

await writeFile(compiledPath(`../${REFERENCE_PATH}`), renderReferencePage());
process.stdout.write(`wrote ${REFERENCE_PATH}\n`);
