export { createBusyMeter, type BusyMeter } from './busyMeter.js';
export type { Clock, Timer } from './types.js';
export { createClock, systemClock, type TimerFunctions } from './createClock.js';
export { elapsedMs, type Moment } from './elapsed.js';
export { pendingInputHandled } from './pendingInput.js';
