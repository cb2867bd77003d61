import { request } from 'undici';
import { systemClock } from '../../src/clock/index.js';
import {
  DrainState,
  ListedVmState,
  PlatformErrorCode,
  type Condition,
  type PlatformError,
  type PlatformResult,
  type TaskSpec,
  type Write,
} from '../../src/platform/index.js';
import { FakePlatform, type WorkerFaults } from '../../src/testing/index.js';
import type { HttpResponse, Call, Handler } from '../shared/server.js';

/** Settings of {@link createPlatform}. */
export interface PlatformOptions {
  /** Delay until a change of a VM's state appears in the VM list, in milliseconds. */
  listLagMs: number;
  /** Duration of a reboot in milliseconds. */
  rebootMs: number;
}

/** A VM as posted to `/control/vms`. */
export interface VmSpec {
  id: string;
  zone: string;
  /** Base URL of the VM's backend stand-in, if it has one. */
  backend?: string;
}

interface Vm extends VmSpec {
  state: DrainState;
}

interface BackendStatus {
  state: string;
  active: number;
}

/**
 * Creates the handler of a simulated platform: table, objects, VM list and workers.
 *
 * `/control/` paths: `vms` (POST a list of {@link VmSpec}), `vms/<vm>/listed` ({state}; removes the
 * VM from the list if absent), `vms/<vm>/vendor-drain` ({rebootAfterMs}), `vms/<vm>/worker`
 * ({@link WorkerFaults}), `status`.
 */
export function createPlatform(options: PlatformOptions): Handler {
  const fakePlatform = new FakePlatform(systemClock);
  const client = fakePlatform.client();
  const vms = new Map<string, Vm>();

  function publishVmState(vm: VmSpec, state: ListedVmState | undefined): void {
    setTimeout(() => {
      if (state === undefined) fakePlatform.vms.delete(vm.id);
      else fakePlatform.vms.set(vm.id, { id: vm.id, zone: vm.zone, state });
    }, options.listLagMs).unref();
  }

  async function callBackend(vm: Vm, name: string, body?: unknown): Promise<BackendStatus> {
    if (vm.backend === undefined) return { state: '', active: 0 };
    const res = await request(`${vm.backend}/control/${name}`, {
      method: name === 'status' ? 'GET' : 'POST',
      body: body === undefined ? null : JSON.stringify(body),
    });
    return (await res.body.json()) as BackendStatus;
  }

  async function drain(vm: Vm): Promise<void> {
    if (vm.state !== DrainState.InService) return;
    vm.state = DrainState.Draining;
    fakePlatform.workers.faults(vm.id).refuseStarts = true;
    await callBackend(vm, 'drain');
  }

  async function cancelDrain(vm: Vm): Promise<void> {
    if (vm.state !== DrainState.Draining) return;
    vm.state = DrainState.InService;
    fakePlatform.workers.faults(vm.id).refuseStarts = false;
    await callBackend(vm, 'cancel-drain');
  }

  async function reboot(vm: Vm): Promise<void> {
    if (vm.state === DrainState.Rebooting) return;
    vm.state = DrainState.Rebooting;
    fakePlatform.reboots.push(vm.id);
    fakePlatform.workers.restart(vm.id);
    fakePlatform.workers.faults(vm.id).cutOff = true;
    setTimeout(() => {
      vm.state = DrainState.InService;
      fakePlatform.workers.restart(vm.id);
      publishVmState(vm, ListedVmState.Live);
    }, options.rebootMs).unref();
    await callBackend(vm, 'reboot', { ms: options.rebootMs });
  }

  async function drainStatus(vm: Vm): Promise<HttpResponse> {
    const { active: activeRequests } = await callBackend(vm, 'status');
    const active = activeRequests + fakePlatform.workers.active(vm.id);
    const isDrained = vm.state === DrainState.Draining && active === 0;
    const state = isDrained ? DrainState.Drained : vm.state;
    return { status: 200, body: { status: { state, active } } };
  }

  async function handleVmCall(call: Call, vm: Vm, rest: string[]): Promise<HttpResponse> {
    const [name, taskId, action] = rest;
    if (name === 'tasks') return handleTaskCall(call, vm.id, taskId, action);
    if (name === 'drain' && call.method === 'GET') return drainStatus(vm);
    const actions: Record<string, ((vm: Vm) => Promise<void>) | undefined> = {
      drain,
      'cancel-drain': cancelDrain,
      reboot,
    };
    const perform = actions[name ?? ''];
    if (!perform) return notFound(call);
    await perform(vm);
    return { status: 200 };
  }

  async function handleTaskCall(
    call: Call,
    vm: string,
    taskId?: string,
    action?: string,
  ): Promise<HttpResponse> {
    const { workers } = client;
    if (taskId === undefined) {
      if (call.method === 'GET') return toResponse(workers.report(vm), (report) => ({ report }));
      return toResponse(workers.start(vm, call.json() as TaskSpec));
    }
    const body = call.json() as { epoch: number; leaseMs: number; share: number };
    switch (action) {
      case 'renew':
        return toResponse(workers.renew(vm, taskId, body.epoch, body.leaseMs));
      case 'checkpoint':
        return toResponse(workers.checkpoint(vm, taskId));
      case 'throttle':
        return toResponse(workers.throttle(vm, taskId, body.share));
      case 'stop':
        return toResponse(workers.stop(vm, taskId));
      default:
        return notFound(call);
    }
  }

  function handleTableCall(call: Call, name?: string): HttpResponse | Promise<HttpResponse> {
    const queryParam = (key: string) => call.query.get(key) ?? undefined;
    switch (name) {
      case 'row':
        return toResponse(client.table.get(queryParam('key') ?? ''), (row) => ({
          row: row ?? null,
        }));
      case 'rows':
        return toResponse(
          client.table.scan(
            queryParam('prefix') ?? '',
            Number(queryParam('limit') ?? 100),
            queryParam('after'),
          ),
          (page) => ({ page }),
        );
      case 'transactions': {
        const { conditions, writes } = call.json() as { conditions: Condition[]; writes: Write[] };
        return toResponse(client.table.transact(conditions, writes));
      }
      default:
        return notFound(call);
    }
  }

  function handleObjectCall(call: Call, key: string): HttpResponse {
    if (call.method === 'PUT') {
      fakePlatform.writes += 1;
      fakePlatform.objects.set(key, call.body);
      return { status: 200 };
    }
    fakePlatform.reads += 1;
    const body = fakePlatform.objects.get(key);
    return body ? { status: 200, body } : { status: 404 };
  }

  async function handleVmControl(call: Call, vm: Vm, name?: string): Promise<HttpResponse> {
    switch (name) {
      case 'listed':
        publishVmState(vm, (call.json() as { state?: ListedVmState }).state);
        return { status: 200 };
      case 'vendor-drain':
        publishVmState(vm, ListedVmState.Leaving);
        await drain(vm);
        setTimeout(
          () => void reboot(vm).catch(() => undefined),
          (call.json() as { rebootAfterMs: number }).rebootAfterMs,
        ).unref();
        return { status: 200 };
      case 'worker':
        Object.assign(fakePlatform.workers.faults(vm.id), call.json() as Partial<WorkerFaults>);
        return { status: 200 };
      default:
        return notFound(call);
    }
  }

  async function handleControl(call: Call, rest: string[]): Promise<HttpResponse> {
    const [name, id, action] = rest;
    if (name === 'status') {
      const { reads, writes, reboots } = fakePlatform;
      return { status: 200, body: { reads, writes, reboots, rows: fakePlatform.rows.size } };
    }
    if (name !== 'vms') return notFound(call);
    if (id !== undefined) {
      const vm = vms.get(id);
      return vm ? handleVmControl(call, vm, action) : notFound(call);
    }
    for (const spec of call.json() as VmSpec[]) {
      vms.set(spec.id, { ...spec, state: DrainState.InService });
      publishVmState(spec, ListedVmState.Live);
    }
    return { status: 200 };
  }

  return (call) => {
    const [first, second, third, ...rest] = call.segments;
    if (first === 'control') return handleControl(call, call.segments.slice(1));
    if (first !== 'v1') return notFound(call);
    switch (second) {
      case 'health':
        return { status: 200 };
      case 'table':
        return handleTableCall(call, third);
      case 'objects':
        return handleObjectCall(call, third ?? '');
      case 'vms': {
        if (third === undefined) {
          return toResponse(client.vmList.list(call.query.get('zone') ?? ''), (found) => ({
            vms: found,
          }));
        }
        const vm = vms.get(third);
        return vm ? handleVmCall(call, vm, rest) : notFound(call);
      }
      default:
        return notFound(call);
    }
  };
}

function notFound(call: Call): HttpResponse {
  return { status: 404, body: { message: `unknown path ${call.path}` } };
}

async function toResponse<T>(
  result: PlatformResult<T>,
  body: (value: T) => unknown = () => ({}),
): Promise<HttpResponse> {
  return (await result).match({
    Ok: (value): HttpResponse => ({ status: 200, body: body(value) }),
    Err: errorResponse,
  });
}

function errorResponse(err: PlatformError): HttpResponse {
  if (err.code === PlatformErrorCode.ConditionFailed) {
    return { status: 409, body: { failedKey: err.failedKey, message: err.message } };
  }
  const status = err.code === PlatformErrorCode.OtherIncarnation ? 421 : 422;
  return { status, body: { message: err.message } };
}
