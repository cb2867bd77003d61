import type { Resources } from '../batch/types.js';

/** The kinds of resources, in a fixed order. */
export const RESOURCE_KINDS = ['cpuMillis', 'memoryMb', 'accelerators'] as const;

/** No resources at all. */
export const NO_RESOURCES: Readonly<Resources> = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/** Combines two amounts kind by kind. */
export function combine(
  a: Readonly<Resources>,
  b: Readonly<Resources>,
  operation: (x: number, y: number) => number,
): Resources {
  return {
    cpuMillis: operation(a.cpuMillis, b.cpuMillis),
    memoryMb: operation(a.memoryMb, b.memoryMb),
    accelerators: operation(a.accelerators, b.accelerators),
  };
}

export function plus(a: Readonly<Resources>, b: Readonly<Resources>): Resources {
  return combine(a, b, (x, y) => x + y);
}

/** `a - b`, at least 0 of each kind. */
export function minus(a: Readonly<Resources>, b: Readonly<Resources>): Resources {
  return combine(a, b, (x, y) => Math.max(0, x - y));
}

export function times(a: Readonly<Resources>, factor: number): Resources {
  return {
    cpuMillis: a.cpuMillis * factor,
    memoryMb: a.memoryMb * factor,
    accelerators: a.accelerators * factor,
  };
}

export function smallest(a: Readonly<Resources>, b: Readonly<Resources>): Resources {
  return combine(a, b, Math.min);
}

export function largest(a: Readonly<Resources>, b: Readonly<Resources>): Resources {
  return combine(a, b, Math.max);
}

export function sumOf(amounts: Iterable<Readonly<Resources>>): Resources {
  let sum: Resources = { ...NO_RESOURCES };
  for (const amount of amounts) sum = plus(sum, amount);
  return sum;
}

/** Whether `a` is at most `b` in each kind. */
export function isWithin(a: Readonly<Resources>, b: Readonly<Resources>): boolean {
  return a.cpuMillis <= b.cpuMillis && a.memoryMb <= b.memoryMb && a.accelerators <= b.accelerators;
}

export function isNone({ cpuMillis, memoryMb, accelerators }: Readonly<Resources>): boolean {
  return cpuMillis === 0 && memoryMb === 0 && accelerators === 0;
}

export function isEqual(a: Readonly<Resources>, b: Readonly<Resources>): boolean {
  return isWithin(a, b) && isWithin(b, a);
}

/** Rounds down; grants are stored as whole numbers. */
export function floored(a: Readonly<Resources>): Resources {
  return {
    cpuMillis: Math.floor(a.cpuMillis),
    memoryMb: Math.floor(a.memoryMb),
    accelerators: Math.floor(a.accelerators),
  };
}

/** How many times `needs` fits into `room`; `Infinity` if nothing is needed. */
export function countFitting(room: Readonly<Resources>, needs: Readonly<Resources>): number {
  let count = Infinity;
  for (const kind of RESOURCE_KINDS) {
    if (needs[kind] <= 0) continue;
    count = Math.min(count, Math.max(0, Math.floor(room[kind] / needs[kind])));
  }
  return count;
}
