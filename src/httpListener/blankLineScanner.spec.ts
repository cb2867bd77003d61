import test from 'ava';
import fc from 'fast-check';
import { BlankLineScanner } from './blankLineScanner.js';

const cases: { title: string; text: string; parts: string[] }[] = [
  { title: 'text without a blank line', text: 'a\r\nb', parts: ['a\r\nb'] },
  { title: 'headers', text: 'a\r\nb\r\n\r\n', parts: ['a\r\nb\r\n\r\n'] },
  { title: 'headers with bare line feeds', text: 'a\n\nb\n\n', parts: ['a\n\n', 'b\n\n'] },
  { title: 'two requests', text: 'a\r\n\r\nb\r\n\r\n', parts: ['a\r\n\r\n', 'b\r\n\r\n'] },
  { title: 'blank lines before a request', text: 'a\n\n\r\nb', parts: ['a\n\n', '\r\n', 'b'] },
  { title: 'a blank line with spaces', text: 'a\n \nb', parts: ['a\n \nb'] },
];

function split(buffers: readonly Buffer[]): string[] {
  const scanner = new BlankLineScanner();
  const parts = [''];
  for (const buffer of buffers) {
    for (let rest = buffer; rest.length > 0;) {
      const length = scanner.scan(rest);
      const part = rest.subarray(0, length).toString('latin1');
      parts.push((parts.pop() ?? '') + part);
      rest = rest.subarray(length);
      if (/(?:^|\n)\r*\n$/.test(parts.at(-1) ?? '')) parts.push('');
    }
  }
  return parts.filter((part) => part !== '');
}

// Guards against two requests that reach the parser together because a blank line is missed.
for (const { title, text, parts } of cases) {
  test(`blank lines are found in ${title}`, (t) => {
    t.deepEqual(split([Buffer.from(text)]), parts);
  });
}

test('blank lines are found wherever the text is divided', (t) => {
  const texts = fc.array(fc.constantFrom('a', ' ', '\r', '\n'), { maxLength: 40 });
  const property = fc.property(texts, fc.nat(40), (characters, cut) => {
    const text = characters.join('');
    const whole = split([Buffer.from(text)]);
    const divided = split([Buffer.from(text.slice(0, cut)), Buffer.from(text.slice(cut))]);
    t.deepEqual(divided, whole);
  });
  fc.assert(property, { seed: 50 });
});
