export {
  createEventBus,
  EventName,
  LeavingReason,
  type EventBus,
  type EventData,
} from './events.js';
