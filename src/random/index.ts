export { createRandom, systemSeed, type Random } from './random.js';
