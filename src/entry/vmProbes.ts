import type { Clock } from '../clock/index.js';
import type { IndexedConfigView, Vm } from '../configuration/index.js';
import { ProbeResult } from '../controller/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Random } from '../random/index.js';

/** Time between two probes of one VM, in milliseconds. */
const PROBE_INTERVAL_MS = 2_000;

/** Probes running at once. */
const MAX_PROBES = 32;

/** What the regular probes of a zone need. */
export interface VmProbeDeps {
  view: IndexedConfigView;
  zone: string;
  clock: Clock;
  random: Random;
  probe: (vm: string, signal: AbortSignal) => Promise<boolean>;
}

/** Regular probes of the VMs of a zone, for the zone controller. */
export interface VmProbes {
  probe(vm: string): Promise<ProbeResult>;
  lastProbe(vm: string): ProbeResult;
  /** Probes all VMs of the zone at intervals until the life cycle is closed. */
  run(lifecycle: Lifecycle): Promise<void>;
}

/** Whether a VM that refused work may get some again, by its last probe. */
export function mayBeTried(probe: ProbeResult): boolean {
  return probe === ProbeResult.Healthy || probe === ProbeResult.Unknown;
}

/** Creates the probes of the VMs of a zone. */
export function createVmProbes(deps: VmProbeDeps): VmProbes {
  const last = new Map<string, ProbeResult>();

  async function probeNow(vm: string, signal: AbortSignal): Promise<ProbeResult> {
    try {
      const isHealthy = await deps.probe(vm, signal);
      return isHealthy ? ProbeResult.Healthy : ProbeResult.Failed;
    } catch {
      return ProbeResult.Unreachable;
    }
  }

  async function probeAll(vms: readonly Vm[], signal: AbortSignal): Promise<void> {
    const queue = vms.filter((vm) => vm.executor !== undefined);
    const worker = async () => {
      for (let vm = queue.pop(); vm && !signal.aborted; vm = queue.pop()) {
        last.set(vm.id, await probeNow(vm.id, signal));
      }
    };
    await Promise.all(Array.from({ length: MAX_PROBES }, worker));
  }

  return {
    probe: (vm) => probeNow(vm, new AbortController().signal),
    lastProbe: (vm) => last.get(vm) ?? ProbeResult.Unknown,
    run: async ({ signal }) => {
      last.clear();
      while (!signal.aborted) {
        const vms = [...deps.view.vmsOfZone(deps.zone)];
        await probeAll(vms, signal);
        const known = new Set(vms.map(({ id }) => id));
        for (const id of last.keys()) if (!known.has(id)) last.delete(id);
        await deps.clock.sleep(PROBE_INTERVAL_MS * (0.75 + deps.random.next() / 2), signal);
      }
    },
  };
}
