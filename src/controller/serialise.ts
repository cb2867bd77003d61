/** Order of waiting tasks. */
export enum Priority {
  /** Runs before all normal tasks that wait. */
  Urgent = 'urgent',
  Normal = 'normal',
}

/** Runs a task when no other one runs. */
export type Serialise = <T>(task: () => Promise<T>, priority?: Priority) => Promise<T>;

/** Creates a queue that runs one task at a time, urgent ones first, else in the order of the calls. */
export function createSerialise(): Serialise {
  const waiting: Record<Priority, (() => void)[]> = {
    [Priority.Urgent]: [],
    [Priority.Normal]: [],
  };
  let isBusy = false;

  async function enter(priority: Priority): Promise<void> {
    if (isBusy) {
      await new Promise<void>((resolve) => waiting[priority].push(resolve));
    }
    isBusy = true;
  }

  function leave(): void {
    const next = waiting[Priority.Urgent].shift() ?? waiting[Priority.Normal].shift();
    // The turn is handed over without a gap in which a later call could enter.
    if (next) next();
    else isBusy = false;
  }

  return async (task, priority = Priority.Normal) => {
    await enter(priority);
    try {
      return await task();
    } finally {
      leave();
    }
  };
}
