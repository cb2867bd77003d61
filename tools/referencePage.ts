import { entrySettingsSchema } from '../src/entry/index.js';
import { inventorySchema } from '../src/inventory/index.js';
import { renderReference } from '../src/settings/index.js';

/** Path of the generated page, relative to the root of the repository. */
export const REFERENCE_PATH = 'docs/configuration.md';

const INTRODUCTION = `# Configuration reference

Generated from the schemas by \`npm run docs\`; CI fails when this page is out of date. All files are
YAML. Quantities are plain numbers in the unit that their description names; the names of durations
end in \`Ms\`. Unknown keys are rejected. \`burdocknotch check\` reports every problem with its file and
line, the value found and the value expected.

Environment variables: \`BURDOCKNOTCH_SECRET\` (peer secret), \`BURDOCKNOTCH_TOKEN\` (operator token of
the daemon and of the command line), \`BURDOCKNOTCH_OPERATOR\` (operator listener that the command line
connects to).
`;

const MINIMAL_SETTINGS = `## Minimal settings file of an entry process

\`\`\`yaml
name: zone-a-entry-1
zone: zone-a
platform:
  url: http://10.0.0.10:7070
peers:
  advertiseHost: 10.0.1.5
membership:
  seeds:
    - host: 10.0.1.6
      port: 7400
\`\`\`
`;

const EXAMPLE_INVENTORY = `## Example inventory file

\`\`\`yaml
services:
  - { id: motions, pool: motions, maxQueued: 200, spill: true, minAvailableSlots: 16 }
pools:
  - { id: motions, minAvailable: 2, maxAway: 2, maxAwayPerRack: 1, maxAwayPerZone: 1,
      isSpare: false, mayBorrow: true }
teams:
  - { id: league, weight: 1, maxQueued: 100, maxRunning: 32, maxUrgent: 8, maxJobs: 50 }
vms:
  - id: vm-1
    zone: zone-a
    rack: rack-1
    pool: motions
    cores: 64
    memoryMib: 262144
    accelerators: 0
    executor: { host: 10.0.2.1, port: 8080, slots: 8, connections: 64 }
\`\`\`
`;

/** Renders the reference page of all settings and inventory keys. */
export function renderReferencePage(): string {
  return [
    INTRODUCTION,
    MINIMAL_SETTINGS,
    EXAMPLE_INVENTORY,
    renderReference('settings', entrySettingsSchema),
    renderReference('inventory', inventorySchema),
  ].join('\n');
}
