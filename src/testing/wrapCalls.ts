import type { PlatformClient, PlatformResult } from '../platform/index.js';

/** Any method of a platform client. */
export type PlatformMethod = (...args: unknown[]) => PlatformResult<unknown>;

/**
 * Wraps each method of a platform client. Properties outside the interface, such as the faults of a
 * fake, are omitted.
 *
 * @param wrap - receives part and method name, such as `table` and `transact`
 */
export function wrapCalls(
  client: PlatformClient,
  wrap: (part: string, name: string, call: PlatformMethod) => PlatformMethod,
): PlatformClient {
  const { table, objects, vmList, pools, workers } = client;
  const parts = Object.entries({ table, objects, vmList, pools, workers }).map(([part, calls]) => {
    const methods = Object.entries(calls as unknown as Record<string, PlatformMethod>);
    const wrapped = methods.map(([name, call]) => [name, wrap(part, name, call)]);
    return [part, Object.fromEntries(wrapped)] as const;
  });
  return Object.fromEntries(parts) as unknown as PlatformClient;
}
