export { DemandForecast } from './demandForecast.js';
