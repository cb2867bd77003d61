import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import type { ServiceLoad } from '../peers/index.js';
import {
  AdmissionError,
  AdmissionReason,
  SizeClass,
  type ExecutorSlots,
  type Scheduler,
  type SlotGrant,
  type WorkItem,
} from '../scheduling/index.js';

type SubmitResult = Result<SlotGrant, AdmissionError>;

interface QueuedItem {
  item: WorkItem;
  settle: (result: SubmitResult) => void;
}

/** A first-come, first-served scheduler with a single queue of limited length. */
export class FakeScheduler implements Scheduler {
  readonly #clock: Clock;
  readonly #maxQueued: number;
  readonly #busy = new Map<string, number>();
  #executors: readonly ExecutorSlots[] = [];
  #queue: QueuedItem[] = [];
  #closed = false;

  constructor(clock: Clock, maxQueued = 100) {
    this.#clock = clock;
    this.#maxQueued = maxQueued;
  }

  submit(item: WorkItem): Promise<SubmitResult> {
    if (this.#closed) return refuse(AdmissionReason.ShuttingDown);
    if (this.#usable(item).length === 0) return refuse(AdmissionReason.NoBackend);
    if (this.#queue.length >= this.#maxQueued) return refuse(AdmissionReason.ServiceQueueFull);
    return new Promise((resolve) => {
      const onAbort = () => {
        settle(refusal(AdmissionReason.Cancelled));
      };
      const settle = (result: SubmitResult) => {
        timer.cancel();
        item.signal.removeEventListener('abort', onAbort);
        this.#queue = this.#queue.filter((other) => other !== queuedItem);
        resolve(result);
      };
      const timer = this.#clock.setTimer(Math.max(0, item.deadline - this.#clock.now()), () => {
        settle(refusal(AdmissionReason.DeadlineExpired));
      });
      const queuedItem: QueuedItem = { item, settle };
      item.signal.addEventListener('abort', onAbort, { once: true });
      this.#queue.push(queuedItem);
      this.#grantNext();
    });
  }

  setExecutors(executors: readonly ExecutorSlots[]): void {
    this.#executors = executors;
    this.#grantNext();
  }

  load(): ServiceLoad[] {
    const services = [...new Set(this.#executors.map(({ service }) => service))];
    return services.map((service) => {
      const own = this.#executors.filter((executor) => executor.service === service);
      const free = own.map(({ vm, slots }) => Math.max(0, slots - (this.#busy.get(vm) ?? 0)));
      const queued = this.#queue.filter(({ item }) => item.service === service).length;
      return { service, slots: this.#slots(service), freeSlots: sum(free), queued };
    });
  }

  estimateWaitMs(service: string): number {
    return this.#slots(service) === 0 ? Infinity : 0;
  }

  close(): void {
    this.#closed = true;
    for (const { settle } of this.#queue) settle(refusal(AdmissionReason.ShuttingDown));
  }

  #usable({ service, avoidVms }: WorkItem): ExecutorSlots[] {
    return this.#executors.filter((own) => own.service === service && !avoidVms?.has(own.vm));
  }

  #slots(service: string): number {
    const own = this.#executors.filter((executor) => executor.service === service);
    return sum(own.map(({ slots }) => slots));
  }

  #grantNext(): void {
    for (const { item, settle } of [...this.#queue]) {
      const usable = this.#usable(item);
      const executor = usable.find(({ vm, slots }) => (this.#busy.get(vm) ?? 0) < slots);
      if (executor) settle(Result.ok(this.#grant(executor.vm)));
    }
  }

  #grant(vm: string): SlotGrant {
    this.#busy.set(vm, (this.#busy.get(vm) ?? 0) + 1);
    let isHeld = true;
    const release = () => {
      if (!isHeld) return;
      isHeld = false;
      this.#busy.set(vm, (this.#busy.get(vm) ?? 0) - 1);
      this.#grantNext();
    };
    return { vm, waitedMs: 0, sizeClass: SizeClass.Short, release };
  }
}

function refusal(reason: AdmissionReason): SubmitResult {
  return Result.err(new AdmissionError(reason, `not admitted: ${reason}`, 100));
}

function refuse(reason: AdmissionReason): Promise<SubmitResult> {
  return Promise.resolve(refusal(reason));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
