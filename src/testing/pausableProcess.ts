import { createClock, type Clock } from '../clock/index.js';
import type { PeerMessageHandler, PeerNetwork } from '../peers/index.js';

/** A process whose timers and messages wait while it is paused, as under SIGSTOP. */
export interface PausableProcess {
  clock: Clock;
  /** A network of the process; its messages wait too. */
  wrap(network: PeerNetwork): PeerNetwork;
  pause(): void;
  /** Runs what became due during the pause: timers first, then messages. */
  resume(): void;
}

interface TimerEntry {
  isCancelled: boolean;
  cancel: () => void;
}

/** Creates a process on a clock, usually a virtual one that other processes share. */
export function createPausableProcess(base: Clock): PausableProcess {
  let isPaused = false;
  let dueTimers: (() => void)[] = [];
  let messages: (() => void)[] = [];
  const clock = createClock({
    setTimeout: (callback, delayMs) => {
      const entry: TimerEntry = { isCancelled: false, cancel: () => undefined };
      const fire = () => {
        if (entry.isCancelled) return;
        if (isPaused) dueTimers.push(fire);
        else callback();
      };
      const timer = base.setTimer(delayMs, fire);
      entry.cancel = () => {
        entry.isCancelled = true;
        timer.cancel();
      };
      return entry;
    },
    clearTimeout: (entry: TimerEntry) => {
      entry.cancel();
    },
    monotonicMs: () => base.now(),
    wallMs: () => base.wallTime(),
  });
  return {
    clock,
    wrap: (network) => ({
      ...network,
      handle: (type, handler) => {
        const receive = handler as PeerMessageHandler;
        network.handle(type, (from, message) => {
          const run = () => {
            receive(from, message);
          };
          if (isPaused) messages.push(run);
          else run();
        });
      },
    }),
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
      const due = [...dueTimers, ...messages];
      dueTimers = [];
      messages = [];
      for (const run of due) run();
    },
  };
}
