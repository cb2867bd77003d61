export { entrySettingsSchema, type EntrySettings } from './defaults.js';
export { createEntryProcess } from './createEntryProcess.js';
export { runEntryProcess } from './runEntryProcess.js';
export {
  EntryError,
  EntryErrorCode,
  type EntryContext,
  type EntryPorts,
  type EntryProcess,
} from './types.js';
