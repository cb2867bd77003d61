export * from './types.js';
export { peersSchema, type PeersSettings } from './defaults.js';
export { PartitionDirection } from './simulatedPartitions.js';
export { RefusalReason } from './links.js';
export { encodeFrame, decodeBody, readFrames } from './framing.js';
export { memberInfoSchema } from './handshake.js';
export { createPeerNetwork, type PeerNetworkOptions, type TcpPeerNetwork } from './network.js';
