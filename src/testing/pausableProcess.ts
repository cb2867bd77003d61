import { createClock, type Clock } from '../clock/index.js';
import type { PeerMessageHandler, PeerNetwork } from '../peers/index.js';

/** A process whose timers and messages are held back while it is paused, as after SIGSTOP. */
export interface PausableProcess {
  clock: Clock;
  /** Wraps the network of the process so that received messages are held back during a pause. */
  wrap(network: PeerNetwork): PeerNetwork;
  pause(): void;
  /** Resumes the process; runs the timers that fell due during the pause, then the messages. */
  resume(): void;
}

interface TimerEntry {
  isCancelled: boolean;
  cancel: () => void;
}

/** Creates a process on a base clock, which is usually virtual and shared with other processes. */
export function createPausableProcess(base: Clock): PausableProcess {
  let isPaused = false;
  let dueTimers: (() => void)[] = [];
  let pendingMessages: (() => void)[] = [];
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
        const handleMessage = handler as PeerMessageHandler;
        network.handle(type, (from, message) => {
          const run = () => {
            handleMessage(from, message);
          };
          if (isPaused) pendingMessages.push(run);
          else run();
        });
      },
    }),
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
      const due = [...dueTimers, ...pendingMessages];
      dueTimers = [];
      pendingMessages = [];
      for (const run of due) run();
    },
  };
}
