import type { PlatformClient, PlatformResult } from '../platform/index.js';

/** Any call of a platform client. */
export type PlatformMethod = (...args: unknown[]) => PlatformResult<unknown>;

/**
 * Wraps each call of a platform client. What is no part of the interface, such as the fault switches
 * of a fake, is left out.
 *
 * @param wrap - receives the part and the name of the call, such as `table` and `transact`
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
