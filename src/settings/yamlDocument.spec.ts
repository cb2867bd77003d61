import test from 'ava';
import { z } from 'zod';
import { parseYaml, SettingsErrorCode } from './index.js';

const schema = z.strictObject({
  name: z.string(),
  timeoutMs: z.number().min(1).default(10),
  mode: z.enum(['fast', 'safe']).default('safe'),
  seeds: z.array(z.strictObject({ port: z.number() })).default([]),
});

const cases = [
  { title: 'an unknown key', text: 'name: a\nnope: 1\n', line: 2, message: /unknown key "nope"/ },
  {
    title: 'a number with a unit',
    text: 'name: a\ntimeoutMs: 5s\n',
    line: 2,
    message: /found "5s", expected number/,
  },
  {
    title: 'a value below the range',
    text: 'name: a\n\ntimeoutMs: 0\n',
    line: 3,
    message: /found 0, expected at least 1/,
  },
  {
    title: 'a value that is not an allowed choice',
    text: 'mode: slow\nname: a\n',
    line: 1,
    message: /found "slow", expected one of fast, safe/,
  },
  {
    title: 'a missing key',
    text: 'timeoutMs: 4\n',
    line: 1,
    message: /found nothing, expected string/,
  },
  {
    title: 'an error inside a list',
    text: 'name: a\nseeds:\n  - port: 1\n  - prt: 2\n',
    line: 4,
    message: /unknown key "prt"|expected number/,
  },
  { title: 'a repeated key', text: 'name: a\nname: b\n', line: 2, message: /not valid YAML/ },
  { title: 'invalid YAML syntax', text: 'name: [a\n', line: 2, message: /not valid YAML/ },
];

// Accepting such a file would apply settings that its author did not intend.
for (const { title, text, line, message } of cases) {
  test(`${title} is reported with its line`, (t) => {
    const result = parseYaml('s.yaml', text, schema);
    t.true(result.isErr);
    if (result.isOk) return;
    const [problem] = result.error.problems;
    t.is(problem?.line, line);
    t.regex(problem?.message ?? '', message);
    t.regex(result.error.message, new RegExp(`s\\.yaml:${line}: `));
  });
}

test('a valid file yields its values and the defaults of missing keys', (t) => {
  const result = parseYaml('s.yaml', 'name: a\n', schema);
  t.deepEqual(result.isOk && result.value.value, {
    name: 'a',
    timeoutMs: 10,
    mode: 'safe',
    seeds: [],
  });
});

test('the error code distinguishes invalid syntax from invalid values', (t) => {
  const codes = ['name: [a\n', 'nope: 1\n'].map((text) => {
    const result = parseYaml('s.yaml', text, schema);
    return result.isErr ? result.error.code : undefined;
  });
  t.deepEqual(codes, [SettingsErrorCode.Syntax, SettingsErrorCode.Invalid]);
});
