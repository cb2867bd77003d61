export { isRelayCall } from './messages.js';
export { answerRelayCall } from './relayServer.js';
export { RelayedStore, type RelayedStoreDeps } from './relayedStore.js';
export { RelayOperation, type RelayRequest } from './types.js';
