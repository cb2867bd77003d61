export { diffInventory, formatDifference, type InventoryDifference } from './diffInventory.js';
export { readInventory, toSnapshot } from './readInventory.js';
export { inventorySchema, type Inventory } from './types.js';
