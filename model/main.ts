import { specifications, type Exploration, type SpecificationEntry, type Step } from './index.js';

function formatStep({ type, process, peer, vm }: Step): string {
  const parts = [process, vm, peer].filter((part) => part !== undefined);
  return parts.length > 0 ? `${type}(${parts.join(',')})` : type;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printSpecification(entry: SpecificationEntry, exploration: Exploration): boolean {
  print(`${entry.id}: ${entry.text}`);
  print(
    `  states ${exploration.states}, transitions ${exploration.transitions}, depth ${exploration.depth}`,
  );
  for (const invariant of entry.invariants) {
    const violation = exploration.violations.find((item) => item.invariant === invariant.id);
    print(`  ${violation ? 'BROKEN' : 'holds '} ${invariant.id}: ${invariant.text}`);
    if (violation) print(`         ${violation.trace.map(formatStep).join(' ')}`);
  }
  return exploration.violations.length === 0;
}

function printFaultyVariants(entry: SpecificationEntry): boolean {
  let areAllFound = true;
  for (const variant of entry.faultyVariants) {
    const exploration = entry.explore(variant.id);
    const violation = exploration.violations.find((item) => item.invariant === variant.violates);
    areAllFound &&= violation !== undefined;
    print(
      `  ${violation ? 'found ' : 'MISSED'} ${variant.id} violates ${variant.violates}: ${variant.text}`,
    );
    print(
      `         states ${exploration.states}, shortest trace ${violation?.trace.length ?? 0} steps`,
    );
    if (violation) print(`         ${violation.trace.map(formatStep).join(' ')}`);
  }
  return areAllFound;
}

let hasPassed = true;
for (const entry of specifications) {
  hasPassed = printSpecification(entry, entry.explore()) && hasPassed;
  hasPassed = printFaultyVariants(entry) && hasPassed;
}
print(hasPassed ? 'model: all invariants hold, all faulty variants found' : 'model: FAILED');
process.exitCode = hasPassed ? 0 : 1;
