export { copyEndOf, recordCopyEnd, type CopyRecordDeps } from './copyEnds.js';
export { copiesDefaults } from './defaults.js';
export { copyCpu, placeCopies, type CopyRound } from './placeCopies.js';
export { findResumable, resumeGainMs, type ResumeCosts, type ResumeRound } from './resume.js';
export { StragglerHelp, type StragglerHelpDeps, type StragglerRound } from './stragglerHelp.js';
export { findStragglers, mayHaveCopies } from './stragglers.js';
export { CopyEnd, type LearnedTimes, type Straggler } from './types.js';
