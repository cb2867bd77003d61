/** Copies a state, which consists of JSON values only. Faster than structuredClone here. */
export function clone<T>(value: T): T {
  return JSON.parse(JSON.stringify(value)) as T;
}

/** Element of a list at an index that is known to exist. */
export function at<T>(list: readonly T[], index: number): T {
  const item = list[index];
  if (item === undefined) throw new RangeError(`no element at index ${index} of ${list.length}`);
  return item;
}
