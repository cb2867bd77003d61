export { createEventBus, EventName, LeavingSign, type EventBus, type EventData } from './events.js';
