export { diffInventory, formatDifference, type InventoryDifference } from './diffInventory.js';
export { readInventory, toSnapshot } from './readInventory.js';
export { splitChanges } from './splitChanges.js';
export { inventorySchema, type Inventory } from './types.js';
