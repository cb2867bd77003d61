export { decidePlaces, gainMsOf } from './decidePlaces.js';
export { MAX_WAIT_MS } from './defaults.js';
export {
  PlaceWaits,
  type PlaceWaitsDeps,
  type ReportedPlaces,
  type WaitCandidate,
} from './placeWaits.js';
export { dependsOnRack, planRound, rackOf, type RoundPlaces } from './roundPlaces.js';
export {
  PlaceAction,
  PlaceReason,
  type PlaceDecision,
  type PlaceResources,
  type PlaceRules,
  type RackSnapshot,
  type RunSnapshot,
  type WaitingStepSnapshot,
  type WorkerSnapshot,
} from './types.js';
