export {
  clamp,
  isFields,
  isFlag,
  isNumberIn,
  isOptionalFlag,
  isOptionalText,
  isText,
  isTextList,
  isWholeNumberIn,
  parseJson,
} from './checks.js';
export {
  amountRange,
  countRange,
  durationRange,
  epochRange,
  MAX_DURATION_MS,
  runNumberRange,
  timeRange,
} from './ranges.js';
export { isSocketAddress } from './socketAddress.js';
export type { Fields, NumberRange } from './types.js';
