export {
  BodyError,
  BodyErrorCode,
  CloseReason,
  EarlyRefusal,
  Holding,
  type ListenerLimits,
  type RefusalHandler,
  type RequestHandler,
} from './types.js';
export {
  jobListenerLimits,
  smallestResources,
  statusListenerLimits,
  type ListenerResources,
} from './defaults.js';
export { HttpListener, type HttpListenerDeps, type ListenerReport } from './httpListener.js';
export { readBody, type BodyReaderDeps } from './bodyReader.js';
