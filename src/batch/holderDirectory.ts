import { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';
import type { Holder } from './holder.js';
import { LinkErrorCode, type NodeTransport } from './links.js';
import { decodeNodeAnswer, NodeCallKind, type NodeAnswer, type NodeCall } from './nodeCalls.js';
import type { Ownership } from './ownership.js';

/** Codes of {@link HolderCallError}. */
export enum HolderCallErrorCode {
  NoHolder = 'no_holder',
  NotHolder = 'not_holder',
  Unreachable = 'unreachable',
  NoAnswer = 'no_answer',
}

/** Failure of a call to the holder of a service. */
export class HolderCallError extends BaseError<HolderCallErrorCode> {
  /** Whether the call may have taken effect. */
  get mayHaveRun(): boolean {
    return this.code === HolderCallErrorCode.NoAnswer;
  }
}

/** Finds the holder of a service, on this or another node, and calls it. */
export class HolderDirectory {
  readonly #ownership: Ownership;
  readonly #transport: NodeTransport;
  readonly #holders: ReadonlyMap<string, Holder>;

  constructor(
    ownership: Ownership,
    transport: NodeTransport,
    holders: ReadonlyMap<string, Holder>,
  ) {
    this.#ownership = ownership;
    this.#transport = transport;
    this.#holders = holders;
  }

  /** Address of the node that holds a service, as far as this node knows. */
  addressOf(service: string): string | undefined {
    return this.#ownership.ownerOf(service)?.address;
  }

  /** Calls the holder of a service, directly if it is on this node, else over the transport. */
  async call(call: NodeCall, timeoutMs: number): Promise<Result<NodeAnswer, HolderCallError>> {
    const { service } = call;
    if (this.#holders.has(service)) return this.#checkHolder(service, await this.answer(call));
    const owner = this.#ownership.ownerOf(service);
    if (!owner) return this.#callError(service, HolderCallErrorCode.NoHolder);
    const res = await this.#transport.call(owner.address, call, Math.max(1, timeoutMs));
    if (res.isOk) {
      const answer = decodeNodeAnswer(res.value);
      // An unreadable answer leaves open whether the call took effect.
      if (!answer) return this.#callError(service, HolderCallErrorCode.NoAnswer);
      return this.#checkHolder(service, answer);
    }
    const wasSent = res.error.code === LinkErrorCode.NoAnswer;
    const { NoAnswer, Unreachable } = HolderCallErrorCode;
    return this.#callError(service, wasSent ? NoAnswer : Unreachable);
  }

  #checkHolder(service: string, answer: NodeAnswer): Result<NodeAnswer, HolderCallError> {
    if (answer.isHolder) return Result.ok(answer);
    return this.#callError(service, HolderCallErrorCode.NotHolder);
  }

  #callError(service: string, code: HolderCallErrorCode): Result<never, HolderCallError> {
    return Result.err(
      new HolderCallError(code, `call to the holder of ${service} failed: ${code}`),
    );
  }

  /** Answers a call to a holder on this node, from this node or another one. */
  async answer(call: NodeCall): Promise<NodeAnswer> {
    const holder = this.#holders.get(call.service);
    if (!holder?.isLoaded) return { isHolder: false };
    switch (call.kind) {
      case NodeCallKind.Submit:
        return { isHolder: true, submitted: await holder.submit(call.spec) };
      case NodeCallKind.Status:
        return { isHolder: true, ...holder.find(call.job) };
      case NodeCallKind.Cancel:
        return { isHolder: true, isCancelled: await holder.cancel(call.job, call.account) };
      case NodeCallKind.Pending:
        return { isHolder: true, pending: holder.pending(call.queue, call.path) };
      case NodeCallKind.Vacate:
        return { isHolder: true, vacating: holder.vacate(call, call) };
      case NodeCallKind.Readmit:
        holder.readmit(call.vm);
        return { isHolder: true };
      case NodeCallKind.RunsEnded:
        holder.handleRunsEnded(call.vm, call.worker);
        return { isHolder: true };
      case NodeCallKind.WorkerGone:
        holder.handleWorkerGone(call.worker, call.bornMs);
        return { isHolder: true };
      case NodeCallKind.Load:
        return { isHolder: true, load: holder.load() };
      case NodeCallKind.Explain:
        return { isHolder: true, explained: holder.explain(call.spec) };
    }
  }
}
