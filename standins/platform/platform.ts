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
import type { Answer, Call, Handle } from '../shared/server.js';

/** Settings of {@link createPlatform}. */
export interface PlatformOptions {
  /** Delay until a change of a VM's state appears in the list, in milliseconds. */
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
 * The platform: table, objects, VM list, pools and workers. `/control/` paths: `vms` (POST a list
 * of {@link VmSpec}), `vms/<vm>/listed` ({state}), `vms/<vm>/vendor-drain` ({rebootAfterMs}),
 * `vms/<vm>/worker` (worker faults), `status`.
 */
export function createPlatform(options: PlatformOptions): Handle {
  const fake = new FakePlatform(systemClock);
  const client = fake.client();
  const vms = new Map<string, Vm>();

  function list(vm: VmSpec, state: ListedVmState | undefined): void {
    setTimeout(() => {
      if (state === undefined) fake.vms.delete(vm.id);
      else fake.vms.set(vm.id, { id: vm.id, zone: vm.zone, state });
    }, options.listLagMs).unref();
  }

  async function backend(vm: Vm, name: string, body?: unknown): Promise<BackendStatus> {
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
    fake.workers.faults(vm.id).refuseStarts = true;
    await backend(vm, 'drain');
  }

  async function cancelDrain(vm: Vm): Promise<void> {
    if (vm.state !== DrainState.Draining) return;
    vm.state = DrainState.InService;
    fake.workers.faults(vm.id).refuseStarts = false;
    await backend(vm, 'cancel-drain');
  }

  async function reboot(vm: Vm): Promise<void> {
    if (vm.state === DrainState.Rebooting) return;
    vm.state = DrainState.Rebooting;
    fake.reboots.push(vm.id);
    fake.workers.restart(vm.id);
    fake.workers.faults(vm.id).cutOff = true;
    setTimeout(() => {
      vm.state = DrainState.InService;
      fake.workers.restart(vm.id);
      list(vm, ListedVmState.Live);
    }, options.rebootMs).unref();
    await backend(vm, 'reboot', { ms: options.rebootMs });
  }

  async function drainStatus(vm: Vm): Promise<Answer> {
    const { active: requests } = await backend(vm, 'status');
    const active = requests + fake.workers.active(vm.id);
    const drained = vm.state === DrainState.Draining && active === 0;
    const state = drained ? DrainState.Drained : vm.state;
    return { status: 200, body: { status: { state, active } } };
  }

  async function vmCall(call: Call, vm: Vm, rest: string[]): Promise<Answer> {
    const [name, taskId, action] = rest;
    if (name === 'tasks') return taskCall(call, vm.id, taskId, action);
    if (name === 'drain' && call.method === 'GET') return drainStatus(vm);
    const actions: Record<string, ((vm: Vm) => Promise<void>) | undefined> = {
      drain,
      'cancel-drain': cancelDrain,
      reboot,
    };
    const act = actions[name ?? ''];
    if (!act) return noSuchPath(call);
    await act(vm);
    return { status: 200 };
  }

  async function taskCall(
    call: Call,
    vm: string,
    taskId?: string,
    action?: string,
  ): Promise<Answer> {
    const { workers } = client;
    if (taskId === undefined) {
      if (call.method === 'GET') return answer(workers.report(vm), (report) => ({ report }));
      return answer(workers.start(vm, call.json() as TaskSpec));
    }
    const body = call.json() as { epoch: number; leaseMs: number; share: number };
    switch (action) {
      case 'renew':
        return answer(workers.renew(vm, taskId, body.epoch, body.leaseMs));
      case 'checkpoint':
        return answer(workers.checkpoint(vm, taskId));
      case 'throttle':
        return answer(workers.throttle(vm, taskId, body.share));
      case 'stop':
        return answer(workers.stop(vm, taskId));
      default:
        return noSuchPath(call);
    }
  }

  function tableCall(call: Call, name?: string): Answer | Promise<Answer> {
    const query = (key: string) => call.query.get(key) ?? undefined;
    switch (name) {
      case 'row':
        return answer(client.table.get(query('key') ?? ''), (row) => ({ row: row ?? null }));
      case 'rows':
        return answer(
          client.table.scan(query('prefix') ?? '', Number(query('limit') ?? 100), query('after')),
          (page) => ({ page }),
        );
      case 'transactions': {
        const { conditions, writes } = call.json() as { conditions: Condition[]; writes: Write[] };
        return answer(client.table.transact(conditions, writes));
      }
      default:
        return noSuchPath(call);
    }
  }

  function objectCall(call: Call, key: string): Answer {
    if (call.method === 'PUT') {
      fake.writes += 1;
      fake.objects.set(key, call.body);
      return { status: 200 };
    }
    fake.reads += 1;
    const body = fake.objects.get(key);
    return body ? { status: 200, body } : { status: 404 };
  }

  async function controlVm(call: Call, vm: Vm, name?: string): Promise<Answer> {
    switch (name) {
      case 'listed':
        list(vm, (call.json() as { state?: ListedVmState }).state);
        return { status: 200 };
      case 'vendor-drain':
        list(vm, ListedVmState.Leaving);
        await drain(vm);
        setTimeout(
          () => void reboot(vm).catch(() => undefined),
          (call.json() as { rebootAfterMs: number }).rebootAfterMs,
        ).unref();
        return { status: 200 };
      case 'worker':
        Object.assign(fake.workers.faults(vm.id), call.json() as Partial<WorkerFaults>);
        return { status: 200 };
      default:
        return noSuchPath(call);
    }
  }

  async function control(call: Call, rest: string[]): Promise<Answer> {
    const [name, id, action] = rest;
    if (name === 'status') {
      const { reads, writes, reboots } = fake;
      return { status: 200, body: { reads, writes, reboots, rows: fake.rows.size } };
    }
    if (name !== 'vms') return noSuchPath(call);
    if (id !== undefined) {
      const vm = vms.get(id);
      return vm ? controlVm(call, vm, action) : noSuchPath(call);
    }
    for (const spec of call.json() as VmSpec[]) {
      vms.set(spec.id, { ...spec, state: DrainState.InService });
      list(spec, ListedVmState.Live);
    }
    return { status: 200 };
  }

  return (call) => {
    const [first, second, third, ...rest] = call.segments;
    if (first === 'control') return control(call, call.segments.slice(1));
    if (first !== 'v1') return noSuchPath(call);
    switch (second) {
      case 'health':
        return { status: 200 };
      case 'table':
        return tableCall(call, third);
      case 'objects':
        return objectCall(call, third ?? '');
      case 'vms': {
        if (third === undefined) {
          return answer(client.vmList.list(call.query.get('zone') ?? ''), (found) => ({
            vms: found,
          }));
        }
        const vm = vms.get(third);
        return vm ? vmCall(call, vm, rest) : noSuchPath(call);
      }
      default:
        return noSuchPath(call);
    }
  };
}

function noSuchPath(call: Call): Answer {
  return { status: 404, body: { message: `no path ${call.path}` } };
}

async function answer<T>(
  result: PlatformResult<T>,
  body: (value: T) => unknown = () => ({}),
): Promise<Answer> {
  return (await result).match({
    Ok: (value): Answer => ({ status: 200, body: body(value) }),
    Err: refusal,
  });
}

function refusal(err: PlatformError): Answer {
  if (err.code === PlatformErrorCode.ConditionFailed) {
    return { status: 409, body: { failedKey: err.failedKey, message: err.message } };
  }
  const status = err.code === PlatformErrorCode.OtherIncarnation ? 421 : 422;
  return { status, body: { message: err.message } };
}
