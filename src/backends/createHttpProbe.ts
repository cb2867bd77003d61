import { request } from 'undici';
import type { Executor } from '../configuration/index.js';
import { originOf } from './createBackendConnections.js';
import type { Probe } from './createBackendHealth.js';
import type { BackendsSettings } from './defaults.js';

const FIRST_SERVER_ERROR = 500;

/**
 * Creates a probe that sends an HTTP GET on a separate connection. Any complete response without a
 * server error counts as healthy.
 *
 * @param executorOf - returns the executor of a VM, or undefined if it has none
 */
export function createHttpProbe(
  settings: BackendsSettings,
  executorOf: (vm: string) => Executor | undefined,
): Probe {
  return async (vm, signal) => {
    const executor = executorOf(vm);
    if (!executor) return false;
    const { probePath, probeTimeoutMs } = settings;
    const timeout = AbortSignal.timeout(probeTimeoutMs);
    const res = await request(originOf(executor) + probePath, {
      signal: AbortSignal.any([signal, timeout]),
      reset: true,
    });
    await res.body.dump();
    return res.statusCode < FIRST_SERVER_ERROR;
  };
}
