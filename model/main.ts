import { specifications, type Exploration, type SpecificationEntry, type Step } from './index.js';

function formatStep({ type, process, peer, vm }: Step): string {
  const parts = [process, vm, peer].filter((part) => part !== undefined);
  return parts.length > 0 ? `${type}(${parts.join(',')})` : type;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printRight(entry: SpecificationEntry, found: Exploration): boolean {
  print(`${entry.id}: ${entry.text}`);
  print(`  states ${found.states}, transitions ${found.transitions}, depth ${found.depth}`);
  for (const invariant of entry.invariants) {
    const violation = found.violations.find((item) => item.invariant === invariant.id);
    print(`  ${violation ? 'BROKEN' : 'holds '} ${invariant.id}: ${invariant.text}`);
    if (violation) print(`         ${violation.trace.map(formatStep).join(' ')}`);
  }
  return found.violations.length === 0;
}

function printWrong(entry: SpecificationEntry): boolean {
  let areAllFound = true;
  for (const variant of entry.wrongVariants) {
    const found = entry.explore(variant.id);
    const violation = found.violations.find((item) => item.invariant === variant.breaks);
    areAllFound &&= violation !== undefined;
    print(
      `  ${violation ? 'found ' : 'MISSED'} ${variant.id} breaks ${variant.breaks}: ${variant.text}`,
    );
    print(`         states ${found.states}, shortest trace ${violation?.trace.length ?? 0} steps`);
    if (violation) print(`         ${violation.trace.map(formatStep).join(' ')}`);
  }
  return areAllFound;
}

let isRight = true;
for (const entry of specifications) {
  isRight = printRight(entry, entry.explore()) && isRight;
  isRight = printWrong(entry) && isRight;
}
print(isRight ? 'model: all invariants hold, all wrong variants found' : 'model: FAILED');
process.exitCode = isRight ? 0 : 1;
